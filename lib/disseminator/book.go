// Package disseminator decides what hosts tell each other of the leaves that they own.
//
// Each host publishes one catalogue record. Hosts compare a hash per cell and fetch only records that changed, so that
// the steady cost is some bytes per cell. It is a state machine without I/O.
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
	// Fresh is the age of a cell's digest up to which the records of that cell count. With one exchange a second and
	// host, news crosses 50 cells in about 9 rounds.
	Fresh = 15 * time.Second
	// unit is the resolution of ages in digests.
	unit = 100 * time.Millisecond
)

// Book holds the catalogue records that a host knows. It is not safe for concurrent use.
type Book struct {
	self   string
	live   func(host string) bool
	own    *peerv1.Catalogue
	cells  []ranker.Cell
	layout uint64
	// home is the index of this host's cell, or -1.
	home    int
	cellOf  map[string]int
	heard   map[string]time.Time // by cell name
	records map[string]*record   // by host
	// generation grows with each change of the records.
	generation uint64
	hashes     []uint64
	hashedAt   uint64
	livingAt   string
}

// record is a catalogue with its leaves parsed once.
type record struct {
	message *peerv1.Catalogue
	leaves  []*cataloguer.Leaf
}

// New returns a book whose own record is empty. live says which hosts of the own cell are live.
func New(self string, incarnation uint64, live func(host string) bool) *Book {
	b := &Book{
		self: self, live: live, own: &peerv1.Catalogue{Host: self, Incarnation: incarnation, Sequence: 1}, home: -1,
		heard: make(map[string]time.Time), records: make(map[string]*record), generation: 1,
	}
	b.records[self] = &record{message: b.own}
	return b
}

// SetCells sets the division of hosts into cells. Records of hosts that are in no cell are dropped.
func (b *Book) SetCells(cells []ranker.Cell) {
	b.cells = cells
	b.cellOf = make(map[string]int)
	b.home = -1
	var d xxhash.Digest
	d.Reset()
	for i, c := range cells {
		_, _ = d.WriteString(c.Name + "\x00" + strings.Join(c.Hosts, "\x00") + "\x00\x00")
		for _, h := range c.Hosts {
			b.cellOf[h] = i
		}
		if slices.Contains(c.Hosts, b.self) {
			b.home = i
		}
	}
	b.layout = d.Sum64()
	for host := range b.records {
		if _, ok := b.cellOf[host]; !ok && host != b.self {
			delete(b.records, host)
		}
	}
	b.generation++
}

// Generation grows with each change of the records.
func (b *Book) Generation() uint64 { return b.generation }

// Own returns this host's record.
func (b *Book) Own() *peerv1.Catalogue { return b.own }

// SetCallers sets the address at which this host takes announcements.
func (b *Book) SetCallers(address string) {
	b.own = proto.CloneOf(b.own)
	b.own.Callers = address
	b.put(b.own)
}

// Callers returns the address at which a host takes announcements, or nothing when it is not known.
func (b *Book) Callers(host string) string {
	if r, ok := b.records[host]; ok {
		return r.message.GetCallers()
	}
	return ""
}

// Publish replaces this host's leaves. The sequence grows, and Publish reports true, only when something other than
// an announcement's own sequence and load changed.
func (b *Book) Publish(leaves []*peerv1.Leaf) bool {
	for _, l := range leaves {
		l.Announcement = proto.CloneOf(l.GetAnnouncement())
		l.Announcement.Sequence, l.Announcement.Load = 0, 0
	}
	slices.SortFunc(leaves, func(a, c *peerv1.Leaf) int {
		return strings.Compare(a.GetAnnouncement().GetLeaf(), c.GetAnnouncement().GetLeaf())
	})
	next := &peerv1.Catalogue{Host: b.self, Incarnation: b.own.GetIncarnation(), Sequence: b.own.GetSequence(), Leaves: leaves, Callers: b.own.GetCallers()}
	if proto.Equal(next, b.own) {
		return false
	}
	next.Sequence++
	b.own = next
	b.put(next)
	return true
}

// Offer takes a record of another host if it is newer than the one known. It reports whether it did.
func (b *Book) Offer(c *peerv1.Catalogue) bool {
	if _, ok := b.cellOf[c.GetHost()]; !ok || c.GetHost() == b.self {
		return false
	}
	if old, ok := b.records[c.GetHost()]; ok && !newer(c.GetIncarnation(), c.GetSequence(), old.message) {
		return false
	}
	b.put(c)
	return true
}

func (b *Book) put(c *peerv1.Catalogue) {
	r := &record{message: c}
	for _, l := range c.GetLeaves() {
		leaf, err := cataloguer.ParseAnnouncement(l.GetAnnouncement(), time.Time{})
		if err != nil {
			continue
		}
		leaf.Owner, leaf.Epoch, leaf.Published = c.GetHost(), l.GetEpoch(), true
		r.leaves = append(r.leaves, leaf)
	}
	b.records[c.GetHost()] = r
	b.generation++
}

func newer(incarnation, sequence uint64, than *peerv1.Catalogue) bool {
	return cmp.Or(cmp.Compare(incarnation, than.GetIncarnation()), cmp.Compare(sequence, than.GetSequence())) > 0
}

// counts reports whether the records of a host are used: its cell tells that it is live.
func (b *Book) counts(host string, now time.Time) bool {
	i, ok := b.cellOf[host]
	switch {
	case !ok:
		return false
	case i == b.home:
		return b.live(host)
	default:
		return now.Sub(b.heard[b.cells[i].Name]) < Fresh
	}
}

// Leaves returns every leaf that a live host publishes, each once. Of two records of one leaf the higher epoch
// holds, then the newer incarnation of the leaf, then that of the publisher.
func (b *Book) Leaves(now time.Time) map[string]*cataloguer.Leaf {
	out := make(map[string]*cataloguer.Leaf)
	for host, r := range b.records {
		if !b.counts(host, now) {
			continue
		}
		for _, l := range r.leaves {
			if old, ok := out[l.Name]; !ok || b.prefer(l, old) {
				out[l.Name] = l
			}
		}
	}
	return out
}

func (b *Book) prefer(a, old *cataloguer.Leaf) bool {
	return cmp.Or(
		cmp.Compare(a.Epoch, old.Epoch), cmp.Compare(a.Incarnation, old.Incarnation),
		cmp.Compare(b.records[a.Owner].message.GetIncarnation(), b.records[old.Owner].message.GetIncarnation()),
		strings.Compare(old.Owner, a.Owner),
	) > 0
}

// Usable returns a value that changes when the set of hosts changes whose records are used.
func (b *Book) Usable(now time.Time) uint64 {
	var sum uint64
	for host := range b.records {
		if b.counts(host, now) {
			sum += xxhash.Sum64String(host)
		}
	}
	return sum
}

// marks returns the marks of a cell's records, sorted by host; of the own cell only those of live hosts.
func (b *Book) marks(cell int) []*peerv1.Mark {
	var out []*peerv1.Mark
	for _, host := range b.cells[cell].Hosts {
		r, ok := b.records[host]
		if !ok || (cell == b.home && !b.live(host)) {
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
