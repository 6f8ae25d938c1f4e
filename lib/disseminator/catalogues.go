// Package disseminator replicates between hosts which leaves each host owns.
//
// Each host publishes one catalogue record. Hosts compare one hash per cell and fetch only changed records, so that the
// steady-state cost is a few bytes per cell. The package is a state machine without I/O.
package disseminator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// MaxAge is the age of a cell's digest up to which the records of the cell are used. With one exchange per second and
	// host, a change reaches all of 50 cells in about 9 rounds.
	MaxAge = 15 * time.Second
	// ageUnit is the resolution of ages in digests.
	ageUnit = 100 * time.Millisecond
)

// Catalogues stores the catalogue records known to a host. It is not safe for concurrent use.
type Catalogues struct {
	self   string
	live   func(host string) bool
	own    *peerv1.Catalogue
	cells  []ranker.Cell
	layout uint64
	// ownCell is the index of this host's cell, or -1.
	ownCell int
	cellOf  map[string]int
	// updated holds when each cell's records were last up to date, by cell name.
	updated map[string]time.Time
	records map[string]*record // by host
	// generation is incremented with each change of the records.
	generation uint64
	// hashes holds a hash per cell, computed for hashedGeneration and the live hosts of the own cell in hashedLive.
	hashes           []uint64
	hashedGeneration uint64
	hashedLive       string
}

// record is a catalogue with its parsed leaves.
type record struct {
	message *peerv1.Catalogue
	leaves  []*cataloguer.Leaf
}

// New returns catalogues with an empty record of this host. live reports whether a host of the own cell is live.
func New(self string, incarnation uint64, live func(host string) bool) *Catalogues {
	cs := &Catalogues{
		self: self, live: live, own: &peerv1.Catalogue{Host: self, Incarnation: incarnation, Sequence: 1}, ownCell: -1,
		updated: make(map[string]time.Time), records: make(map[string]*record), generation: 1,
	}
	cs.records[self] = &record{message: cs.own}
	return cs
}

// SetCells sets the assignment of hosts to cells. Records of hosts that are in no cell are removed.
func (cs *Catalogues) SetCells(cells []ranker.Cell) {
	cs.cells = cells
	cs.cellOf = make(map[string]int)
	cs.ownCell = -1
	var d xxhash.Digest
	d.Reset()
	for i, c := range cells {
		_, _ = d.WriteString(c.Name + "\x00" + strings.Join(c.Hosts, "\x00") + "\x00\x00")
		for _, h := range c.Hosts {
			cs.cellOf[h] = i
		}
		if slices.Contains(c.Hosts, cs.self) {
			cs.ownCell = i
		}
	}
	cs.layout = d.Sum64()
	for host := range cs.records {
		if _, ok := cs.cellOf[host]; !ok && host != cs.self {
			delete(cs.records, host)
		}
	}
	cs.generation++
}

// Generation returns a number that is incremented with each change of the records.
func (cs *Catalogues) Generation() uint64 { return cs.generation }

// Own returns this host's record.
func (cs *Catalogues) Own() *peerv1.Catalogue { return cs.own }

// SetCallers sets the address at which this host receives announcements.
func (cs *Catalogues) SetCallers(address string) {
	cs.own = proto.CloneOf(cs.own)
	cs.own.Callers = address
	cs.put(cs.own)
}

// Callers returns the address at which a host receives announcements, or "" if it is not known.
func (cs *Catalogues) Callers(host string) string {
	if r, ok := cs.records[host]; ok {
		return r.message.GetCallers()
	}
	return ""
}

// Publish replaces this host's leaves. It increments the sequence and returns true only if something other than the sequence
// and the load of an announcement has changed.
func (cs *Catalogues) Publish(leaves []*peerv1.Leaf) bool {
	for _, l := range leaves {
		l.Announcement = proto.CloneOf(l.GetAnnouncement())
		l.Announcement.Sequence, l.Announcement.Load = 0, 0
	}
	slices.SortFunc(leaves, func(a, c *peerv1.Leaf) int {
		return strings.Compare(a.GetAnnouncement().GetLeaf(), c.GetAnnouncement().GetLeaf())
	})
	next := &peerv1.Catalogue{Host: cs.self, Incarnation: cs.own.GetIncarnation(), Sequence: cs.own.GetSequence(), Leaves: leaves, Callers: cs.own.GetCallers()}
	if proto.Equal(next, cs.own) {
		return false
	}
	next.Sequence++
	cs.own = next
	cs.put(next)
	return true
}

// Offer stores a record of another host if it is newer than the known one. It reports whether it was stored.
func (cs *Catalogues) Offer(c *peerv1.Catalogue) bool {
	if _, ok := cs.cellOf[c.GetHost()]; !ok || c.GetHost() == cs.self {
		return false
	}
	if old, ok := cs.records[c.GetHost()]; ok && !newer(c.GetIncarnation(), c.GetSequence(), old.message) {
		return false
	}
	cs.put(c)
	return true
}

func (cs *Catalogues) put(c *peerv1.Catalogue) {
	r := &record{message: c}
	for _, l := range c.GetLeaves() {
		leaf, err := cataloguer.ParseAnnouncement(l.GetAnnouncement(), time.Time{})
		if err != nil {
			continue
		}
		leaf.Owner, leaf.Epoch, leaf.Published = c.GetHost(), l.GetEpoch(), true
		r.leaves = append(r.leaves, leaf)
	}
	cs.records[c.GetHost()] = r
	cs.generation++
}

func newer(incarnation, sequence uint64, than *peerv1.Catalogue) bool {
	return cmp.Or(cmp.Compare(incarnation, than.GetIncarnation()), cmp.Compare(sequence, than.GetSequence())) > 0
}

// usable reports whether the record of a host is used: in the own cell if the host is live, in other cells if the cell was
// updated within MaxAge.
func (cs *Catalogues) usable(host string, now time.Time) bool {
	i, ok := cs.cellOf[host]
	switch {
	case !ok:
		return false
	case i == cs.ownCell:
		return cs.live(host)
	default:
		return now.Sub(cs.updated[cs.cells[i].Name]) < MaxAge
	}
}

// Leaves returns the leaves that live hosts publish, by name. If two hosts publish the same leaf, the higher epoch wins, then
// the newer incarnation of the leaf, then the newer incarnation of the publisher.
func (cs *Catalogues) Leaves(now time.Time) map[string]*cataloguer.Leaf {
	out := make(map[string]*cataloguer.Leaf)
	for host, r := range cs.records {
		if !cs.usable(host, now) {
			continue
		}
		for _, l := range r.leaves {
			if old, ok := out[l.Name]; !ok || cs.prefer(l, old) {
				out[l.Name] = l
			}
		}
	}
	return out
}

func (cs *Catalogues) prefer(a, old *cataloguer.Leaf) bool {
	return cmp.Or(
		cmp.Compare(a.Epoch, old.Epoch), cmp.Compare(a.Incarnation, old.Incarnation),
		cmp.Compare(cs.records[a.Owner].message.GetIncarnation(), cs.records[old.Owner].message.GetIncarnation()),
		strings.Compare(old.Owner, a.Owner),
	) > 0
}

// UsableHash returns a value that changes when the set of hosts whose records are used changes.
func (cs *Catalogues) UsableHash(now time.Time) uint64 {
	var sum uint64
	for host := range cs.records {
		if cs.usable(host, now) {
			sum += xxhash.Sum64String(host)
		}
	}
	return sum
}

// marks returns the versions of a cell's records, sorted by host. For the own cell it includes only live hosts.
func (cs *Catalogues) marks(cell int) []*peerv1.Mark {
	var out []*peerv1.Mark
	for _, host := range cs.cells[cell].Hosts {
		r, ok := cs.records[host]
		if !ok || (cell == cs.ownCell && !cs.live(host)) {
			continue
		}
		out = append(out, &peerv1.Mark{Host: host, Incarnation: r.message.GetIncarnation(), Sequence: r.message.GetSequence()})
	}
	return out
}

func hash(marks []*peerv1.Mark) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [16]byte
	for _, m := range marks {
		_, _ = d.WriteString(m.GetHost())
		binary.LittleEndian.PutUint64(number[:8], m.GetIncarnation())
		binary.LittleEndian.PutUint64(number[8:], m.GetSequence())
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}
