package disseminator

import (
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Home returns the hash of the own cell's records, which is sent with every probe.
func (b *Catalogues) OwnCellHash() uint64 {
	if b.ownCell < 0 {
		return 0
	}
	return hash(b.marks(b.ownCell))
}

// HomeName returns the name of the own cell, or "" if this host is in no cell.
func (b *Catalogues) OwnCellName() string {
	if b.ownCell < 0 {
		return ""
	}
	return b.cells[b.ownCell].Name
}

// Digest returns the hash and the age of every cell. It takes 9 or 10 bytes per cell.
func (b *Catalogues) Digest(now time.Time) *peerv1.Digest {
	b.rehash()
	out := &peerv1.Digest{Layout: b.layout, Hashes: b.hashes, Ages: make([]uint32, len(b.cells))}
	for i := range b.cells {
		out.Ages[i] = b.age(i, now)
	}
	return out
}

// age returns the encoded age of a cell in digests: 0 means never updated, 1 means now.
func (b *Catalogues) age(cell int, now time.Time) uint32 {
	if cell == b.ownCell {
		return 1
	}
	at, ok := b.updated[b.cells[cell].Name]
	if !ok || now.Sub(at) >= 10*MaxAge {
		return 0
	}
	return uint32(max(0, now.Sub(at))/ageUnit) + 1 //nolint:gosec // At most 10 times MaxAge.
}

// rehash recomputes the hashes of the cells if the records or the live hosts of the own cell have changed.
func (b *Catalogues) rehash() {
	var live string
	if b.ownCell >= 0 {
		for _, h := range b.cells[b.ownCell].Hosts {
			if b.live(h) {
				live += h + " "
			}
		}
	}
	if b.hashedGeneration == b.generation && b.hashedLive == live {
		return
	}
	b.hashes = make([]uint64, len(b.cells))
	for i := range b.cells {
		b.hashes[i] = hash(b.marks(i))
	}
	b.hashedGeneration, b.hashedLive = b.generation, live
}

// Compare compares the digest of another host with this book. It considers the cells for which the other host has newer
// information: if the records are equal, the cell is marked as updated, else its name is returned.
func (b *Catalogues) Compare(d *peerv1.Digest, now time.Time) []string {
	if d.GetLayout() != b.layout || len(d.GetHashes()) != len(b.cells) || len(d.GetAges()) != len(b.cells) {
		return nil
	}
	b.rehash()
	var wanted []string
	for i, c := range b.cells {
		remote, local := d.GetAges()[i], b.age(i, now)
		if i == b.ownCell || remote == 0 || (local != 0 && remote >= local) {
			continue
		}
		if d.GetHashes()[i] != b.hashes[i] {
			wanted = append(wanted, c.Name)
			continue
		}
		b.updated[c.Name] = now.Add(-time.Duration(remote-1) * ageUnit)
	}
	return wanted
}

// Marks returns the record versions of the named cells.
func (b *Catalogues) Marks(cells []string) []*peerv1.Mark {
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

// Answer returns the record versions of the requested cells, and the records that are newer than the requester's versions.
func (b *Catalogues) Answer(cells []string, remote []*peerv1.Mark) ([]*peerv1.Mark, []*peerv1.Catalogue) {
	known := make(map[string]*peerv1.Mark, len(remote))
	for _, m := range remote {
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

// Take applies the answer for the requested cells of a digest. Records of hosts without a mark in the answer are removed,
// because their cell no longer considers them live. The own cell is an exception: there this host's failure detector decides.
func (b *Catalogues) ApplyAnswer(cells []string, d *peerv1.Digest, marks []*peerv1.Mark, records []*peerv1.Catalogue, now time.Time) {
	for _, c := range records {
		b.Offer(c)
	}
	marked := make(map[string]bool, len(marks))
	for _, m := range marks {
		marked[m.GetHost()] = true
	}
	for i, c := range b.cells {
		for _, name := range cells {
			if c.Name != name || i == b.ownCell || d.GetLayout() != b.layout || i >= len(d.GetAges()) || d.GetAges()[i] == 0 {
				continue
			}
			b.drop(i, marked)
			b.updated[name] = now.Add(-time.Duration(d.GetAges()[i]-1) * ageUnit)
		}
	}
}

func (b *Catalogues) drop(cell int, marked map[string]bool) {
	for _, host := range b.cells[cell].Hosts {
		if _, ok := b.records[host]; ok && !marked[host] {
			delete(b.records, host)
			b.generation++
		}
	}
}

// Complete applies the complete marks of another cell, sent by a host of that cell, and removes the records of hosts without
// a mark. It reports whether every marked record is known. Only then is the cell marked as updated, because an age refers to
// the complete state of a cell.
func (b *Catalogues) ApplyMarks(cell string, marks []*peerv1.Mark, now time.Time) bool {
	marked := make(map[string]bool, len(marks))
	known := true
	for _, m := range marks {
		marked[m.GetHost()] = true
		r, ok := b.records[m.GetHost()]
		known = known && ok && !newer(m.GetIncarnation(), m.GetSequence(), r.message)
	}
	for i, c := range b.cells {
		if c.Name != cell || i == b.ownCell {
			continue
		}
		b.drop(i, marked)
		if known {
			b.updated[cell] = now
		}
	}
	return known
}
