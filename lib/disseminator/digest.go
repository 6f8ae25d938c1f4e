package disseminator

import (
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Home returns the hash of the own cell's records, which every probe carries.
func (b *Book) Home() uint64 {
	if b.home < 0 {
		return 0
	}
	return hash(b.marks(b.home))
}

// HomeName returns the name of the own cell, or "".
func (b *Book) HomeName() string {
	if b.home < 0 {
		return ""
	}
	return b.cells[b.home].Name
}

// Digest describes every cell. The size is 9 or 10 bytes a cell.
func (b *Book) Digest(now time.Time) *peerv1.Digest {
	b.rehash()
	out := &peerv1.Digest{Layout: b.layout, Hashes: b.hashes, Ages: make([]uint32, len(b.cells))}
	for i := range b.cells {
		out.Ages[i] = b.age(i, now)
	}
	return out
}

// age returns the age of a cell as digests carry it: 0 is never, 1 is now.
func (b *Book) age(cell int, now time.Time) uint32 {
	if cell == b.home {
		return 1
	}
	at, ok := b.heard[b.cells[cell].Name]
	if !ok || now.Sub(at) >= 10*Fresh {
		return 0
	}
	return uint32(max(0, now.Sub(at))/unit) + 1 //nolint:gosec // At most 10 times Fresh.
}

// rehash computes the hashes of the cells again when records or the live hosts of the own cell changed.
func (b *Book) rehash() {
	var living string
	if b.home >= 0 {
		for _, h := range b.cells[b.home].Hosts {
			if b.live(h) {
				living += h + " "
			}
		}
	}
	if b.hashedAt == b.generation && b.livingAt == living {
		return
	}
	b.hashes = make([]uint64, len(b.cells))
	for i := range b.cells {
		b.hashes[i] = hash(b.marks(i))
	}
	b.hashedAt, b.livingAt = b.generation, living
}

// Compare takes another host's digest. Cells of which the other has heard later and whose records agree are fresh
// again; Compare returns the names of those whose records differ.
func (b *Book) Compare(d *peerv1.Digest, now time.Time) []string {
	if d.GetLayout() != b.layout || len(d.GetHashes()) != len(b.cells) || len(d.GetAges()) != len(b.cells) {
		return nil
	}
	b.rehash()
	var wanted []string
	for i, c := range b.cells {
		theirs, ours := d.GetAges()[i], b.age(i, now)
		if i == b.home || theirs == 0 || (ours != 0 && theirs >= ours) {
			continue
		}
		if d.GetHashes()[i] != b.hashes[i] {
			wanted = append(wanted, c.Name)
			continue
		}
		b.heard[c.Name] = now.Add(-time.Duration(theirs-1) * unit)
	}
	return wanted
}

// Marks returns the marks of the named cells.
func (b *Book) Marks(cells []string) []*peerv1.Mark {
	var out []*peerv1.Mark
	for i, c := range b.cells {
		for _, name := range cells {
			if c.Name == name {
				out = append(out, b.marks(i)...)
			}
		}
	}
	return out
}

// Answer returns the marks of the wanted cells and the records that are newer than the asker's marks.
func (b *Book) Answer(cells []string, theirs []*peerv1.Mark) ([]*peerv1.Mark, []*peerv1.Catalogue) {
	known := make(map[string]*peerv1.Mark, len(theirs))
	for _, m := range theirs {
		known[m.GetHost()] = m
	}
	marks := b.Marks(cells)
	var records []*peerv1.Catalogue
	for _, m := range marks {
		r := b.records[m.GetHost()].message
		if k, ok := known[m.GetHost()]; !ok || r.GetIncarnation() > k.GetIncarnation() ||
			(r.GetIncarnation() == k.GetIncarnation() && r.GetSequence() > k.GetSequence()) {
			records = append(records, r)
		}
	}
	return marks, records
}

// Take stores the answer for the wanted cells of a digest. In other cells, records of hosts that the answer does not
// mark are dropped: their cell no longer counts them as live. In the own cell this host's detector decides.
func (b *Book) Take(cells []string, d *peerv1.Digest, marks []*peerv1.Mark, records []*peerv1.Catalogue, now time.Time) {
	for _, c := range records {
		b.Offer(c)
	}
	marked := make(map[string]bool, len(marks))
	for _, m := range marks {
		marked[m.GetHost()] = true
	}
	for i, c := range b.cells {
		for _, name := range cells {
			if c.Name != name || i == b.home || d.GetLayout() != b.layout || i >= len(d.GetAges()) || d.GetAges()[i] == 0 {
				continue
			}
			b.drop(i, marked)
			b.heard[name] = now.Add(-time.Duration(d.GetAges()[i]-1) * unit)
		}
	}
}

func (b *Book) drop(cell int, marked map[string]bool) {
	for _, host := range b.cells[cell].Hosts {
		if _, ok := b.records[host]; ok && !marked[host] {
			delete(b.records, host)
			b.generation++
		}
	}
}

// Complete takes the complete marks of another cell from a host of that cell, and drops the records of hosts without
// a mark. It reports whether every marked record is known; only then the cell counts as heard, because an age
// belongs to a whole state of a cell.
func (b *Book) Complete(cell string, marks []*peerv1.Mark, now time.Time) bool {
	marked := make(map[string]bool, len(marks))
	known := true
	for _, m := range marks {
		marked[m.GetHost()] = true
		r, ok := b.records[m.GetHost()]
		known = known && ok && !newer(m.GetIncarnation(), m.GetSequence(), r.message)
	}
	for i, c := range b.cells {
		if c.Name != cell || i == b.home {
			continue
		}
		b.drop(i, marked)
		if known {
			b.heard[cell] = now
		}
	}
	return known
}
