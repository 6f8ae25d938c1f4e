package disseminator

import (
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// OwnCellHash returns the hash of the own cell's records, which is sent with every probe.
func (cs *Catalogues) OwnCellHash() uint64 {
	if cs.ownCell < 0 {
		return 0
	}
	return hash(cs.marks(cs.ownCell))
}

// OwnCellName returns the name of the own cell, or "" if this host is in no cell.
func (cs *Catalogues) OwnCellName() string {
	if cs.ownCell < 0 {
		return ""
	}
	return cs.cells[cs.ownCell].Name
}

// Digest returns the hash and the age of every cell. It takes 9 or 10 bytes per cell.
func (cs *Catalogues) Digest(now time.Time) *peerv1.Digest {
	cs.rehash()
	out := &peerv1.Digest{Layout: cs.layout, Hashes: cs.hashes, Ages: make([]uint32, len(cs.cells))}
	for i := range cs.cells {
		out.Ages[i] = cs.age(i, now)
	}
	return out
}

// age returns the encoded age of a cell in digests: 0 means never updated, 1 means now.
func (cs *Catalogues) age(cell int, now time.Time) uint32 {
	if cell == cs.ownCell {
		return 1
	}
	at, ok := cs.updated[cs.cells[cell].Name]
	if !ok || now.Sub(at) >= 10*MaxAge {
		return 0
	}
	return uint32(max(0, now.Sub(at))/ageUnit) + 1 //nolint:gosec // At most 10 times MaxAge.
}

// rehash recomputes the hashes of the cells if the records or the live hosts of the own cell have changed.
func (cs *Catalogues) rehash() {
	var live string
	if cs.ownCell >= 0 {
		for _, h := range cs.cells[cs.ownCell].Hosts {
			if cs.live(h) {
				live += h + " "
			}
		}
	}
	if cs.hashedGeneration == cs.generation && cs.hashedLive == live {
		return
	}
	cs.hashes = make([]uint64, len(cs.cells))
	for i := range cs.cells {
		cs.hashes[i] = hash(cs.marks(i))
	}
	cs.hashedGeneration, cs.hashedLive = cs.generation, live
}

// Compare compares the digest of another host with the local records. It considers the cells for which the other host has newer
// information: if the records are equal, the cell is marked as updated, else its name is returned.
func (cs *Catalogues) Compare(d *peerv1.Digest, now time.Time) []string {
	if d.GetLayout() != cs.layout || len(d.GetHashes()) != len(cs.cells) || len(d.GetAges()) != len(cs.cells) {
		return nil
	}
	cs.rehash()
	var wanted []string
	for i, c := range cs.cells {
		remote, local := d.GetAges()[i], cs.age(i, now)
		if i == cs.ownCell || remote == 0 || (local != 0 && remote >= local) {
			continue
		}
		if d.GetHashes()[i] != cs.hashes[i] {
			wanted = append(wanted, c.Name)
			continue
		}
		cs.updated[c.Name] = now.Add(-time.Duration(remote-1) * ageUnit)
	}
	return wanted
}

// Marks returns the record versions of the named cells.
func (cs *Catalogues) Marks(cells []string) []*peerv1.Mark {
	var out []*peerv1.Mark
	for i, c := range cs.cells {
		for _, name := range cells {
			if c.Name == name {
				out = append(out, cs.marks(i)...)
			}
		}
	}
	return out
}

// Answer returns the record versions of the requested cells, and the records that are newer than the requester's versions.
func (cs *Catalogues) Answer(cells []string, remote []*peerv1.Mark) ([]*peerv1.Mark, []*peerv1.Catalogue) {
	known := make(map[string]*peerv1.Mark, len(remote))
	for _, m := range remote {
		known[m.GetHost()] = m
	}
	marks := cs.Marks(cells)
	var records []*peerv1.Catalogue
	for _, m := range marks {
		r := cs.records[m.GetHost()].message
		if k, ok := known[m.GetHost()]; !ok || r.GetIncarnation() > k.GetIncarnation() ||
			(r.GetIncarnation() == k.GetIncarnation() && r.GetSequence() > k.GetSequence()) {
			records = append(records, r)
		}
	}
	return marks, records
}

// ApplyAnswer applies the answer for the requested cells of a digest. Records of hosts without a mark in the answer are removed,
// because their cell no longer considers them live. The own cell is an exception: there this host's failure detector decides.
func (cs *Catalogues) ApplyAnswer(cells []string, d *peerv1.Digest, marks []*peerv1.Mark, records []*peerv1.Catalogue, now time.Time) {
	for _, c := range records {
		cs.Offer(c)
	}
	marked := make(map[string]bool, len(marks))
	for _, m := range marks {
		marked[m.GetHost()] = true
	}
	for i, c := range cs.cells {
		for _, name := range cells {
			if c.Name != name || i == cs.ownCell || d.GetLayout() != cs.layout || i >= len(d.GetAges()) || d.GetAges()[i] == 0 {
				continue
			}
			cs.drop(i, marked)
			cs.updated[name] = now.Add(-time.Duration(d.GetAges()[i]-1) * ageUnit)
		}
	}
}

func (cs *Catalogues) drop(cell int, marked map[string]bool) {
	for _, host := range cs.cells[cell].Hosts {
		if _, ok := cs.records[host]; ok && !marked[host] {
			delete(cs.records, host)
			cs.generation++
		}
	}
}

// ApplyMarks applies the complete marks of another cell, sent by a host of that cell, and removes the records of hosts without
// a mark. It reports whether every marked record is known. Only then is the cell marked as updated, because an age refers to
// the complete state of a cell.
func (cs *Catalogues) ApplyMarks(cell string, marks []*peerv1.Mark, now time.Time) bool {
	marked := make(map[string]bool, len(marks))
	known := true
	for _, m := range marks {
		marked[m.GetHost()] = true
		r, ok := cs.records[m.GetHost()]
		known = known && ok && !newer(m.GetIncarnation(), m.GetSequence(), r.message)
	}
	for i, c := range cs.cells {
		if c.Name != cell || i == cs.ownCell {
			continue
		}
		cs.drop(i, marked)
		if known {
			cs.updated[cell] = now
		}
	}
	return known
}
