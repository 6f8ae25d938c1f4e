package disseminator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/disseminator"
	"lycheelift.example/lib/ranker"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

var soak = flag.Bool("soak", false, "run with many more seeds")

var start = time.Unix(1000, 0)

// cells returns the given number of cells of 9 hosts in one region.
func cells(count int) []ranker.Cell {
	var hosts []ranker.Host
	for i := range count {
		for j := range ranker.MaxCell {
			hosts = append(hosts, ranker.Host{Name: fmt.Sprintf("host-%02d-%d", i, j), Center: fmt.Sprintf("center-%02d", i), Region: "r"})
		}
	}
	return ranker.Cells(hosts)
}

func leaf(name string, epoch uint64) *peerv1.Leaf {
	return &peerv1.Leaf{Epoch: epoch, Announcement: &backendv1.AnnounceRequest{
		Leaf: name, Incarnation: 1, Address: "127.0.0.1:1", Center: "center-00", Service: "desk", State: backendv1.State_STATE_WARM,
		Slots: 2, Connections: 25, Holdings: []*backendv1.Holding{{Snapshot: 1, Shard: 0, Shards: 1}},
	}}
}

// fleet holds the catalogues of all hosts and the set of dead hosts.
type fleet struct {
	catalogues map[string]*disseminator.Catalogues
	names      []string
	cells      []ranker.Cell
	dead       map[string]bool
	now        time.Time
	rng        *rand.Rand
	bytes      int
}

func newFleet(count int, seed uint64) *fleet {
	f := &fleet{
		catalogues: make(map[string]*disseminator.Catalogues), cells: cells(count), dead: make(map[string]bool), now: start,
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	for _, c := range f.cells {
		for _, name := range c.Hosts {
			b := disseminator.New(name, 1, func(host string) bool { return !f.dead[host] })
			b.SetCells(f.cells)
			f.catalogues[name] = b
			f.names = append(f.names, name)
		}
	}
	return f
}

// exchange performs one exchange of digests and records, as package syncer does.
func (f *fleet) exchange(from, to string) {
	a, b := f.catalogues[from], f.catalogues[to]
	theirs := b.Digest(f.now)
	f.bytes += 2 * proto.Size(theirs)
	wanted := a.Compare(theirs, f.now)
	if len(wanted) == 0 {
		return
	}
	marks, records := b.Answer(wanted, a.Marks(wanted))
	for _, r := range records {
		f.bytes += proto.Size(r)
	}
	a.ApplyAnswer(wanted, theirs, marks, records, f.now)
}

// round lets each live host exchange with one random host. Within the own cell, the host fetches changed records instead.
func (f *fleet) round() {
	f.now = f.now.Add(2 * time.Second)
	for _, name := range f.names {
		other := f.names[f.rng.IntN(len(f.names))]
		if f.dead[name] || f.dead[other] {
			continue
		}
		home := f.catalogues[name].OwnCellName()
		if f.catalogues[other].OwnCellName() == home {
			marks, records := f.catalogues[other].Answer([]string{home}, f.catalogues[name].Marks([]string{home}))
			f.catalogues[name].ApplyAnswer([]string{home}, nil, marks, records, f.now)
			continue
		}
		f.exchange(name, other)
	}
}

// Guards against records that do not reach all of 450 hosts by digests alone, against an old record that restores the leaf of
// a dead host, and against digests that exceed the bandwidth budget.
func TestDigestsAloneSpreadRecordsAndDeaths(t *testing.T) {
	seeds := uint64(1)
	if *soak {
		seeds = 20
	}
	for seed := range seeds {
		c := qt.New(t)
		f := newFleet(50, seed)
		first, second := f.cells[0].Hosts[0], f.cells[0].Hosts[1]
		f.catalogues[first].Publish([]*peerv1.Leaf{leaf("desk-0", 1)})
		f.pushToCell(first)
		rounds := f.until(c, "desk-0", first)
		f.bytes = 0
		for range 5 {
			f.round()
		}
		perSecond := float64(f.bytes) / 5 / 2 / 450
		c.Logf("known everywhere after %d rounds; steady digests %.0f B/s and host, %d B per digest", rounds, perSecond,
			proto.Size(f.catalogues[first].Digest(f.now)))
		c.Assert(perSecond < 2000, qt.IsTrue)
		f.dead[first] = true
		f.catalogues[second].Publish([]*peerv1.Leaf{leaf("desk-0", 2)})
		f.pushToCell(second)
		f.until(c, "desk-0", second)
		for range 10 {
			f.round()
			for _, name := range f.names {
				if !f.dead[name] {
					c.Assert(f.catalogues[name].Leaves(f.now)["desk-0"].Owner, qt.Equals, second)
				}
			}
		}
	}
}

// pushToCell offers a host's record to all hosts of its cell, as a push does.
func (f *fleet) pushToCell(name string) {
	for _, other := range f.cells[0].Hosts {
		f.catalogues[other].Offer(f.catalogues[name].Own())
	}
}

// until runs rounds until all live hosts know the owner of a leaf, and returns their number.
func (f *fleet) until(c *qt.C, leaf, owner string) int {
	for n := range 60 {
		missing := 0
		for _, name := range f.names {
			if l := f.catalogues[name].Leaves(f.now)[leaf]; !f.dead[name] && (l == nil || l.Owner != owner) {
				missing++
			}
		}
		if missing == 0 {
			return n
		}
		f.round()
	}
	c.Fatalf("leaf %s is not known as owned by %s everywhere after 60 rounds", leaf, owner)
	return 0
}

// Guards against fetches caused only by a change of an announcement's sequence or load.
func TestSequenceGrowsOnlyOnAChange(t *testing.T) {
	c := qt.New(t)
	b := newFleet(1, 1).catalogues["host-00-0"]
	c.Assert(b.Publish([]*peerv1.Leaf{leaf("desk-0", 1)}), qt.IsTrue)
	before := b.Own().GetSequence()
	same := leaf("desk-0", 1)
	same.Announcement.Sequence, same.Announcement.Load = 99, 0.5
	c.Assert(b.Publish([]*peerv1.Leaf{same}), qt.IsFalse)
	c.Assert(b.Own().GetSequence(), qt.Equals, before)
	c.Assert(b.Publish([]*peerv1.Leaf{leaf("desk-0", 2)}), qt.IsTrue)
	c.Assert(b.Own().GetSequence(), qt.Equals, before+1)
}

// Guards against using leaves of a cell without recent updates, and against a push that restores records of hosts that their
// cell no longer considers live.
func TestCellsExpireAndPushesDropTheDead(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 1)
	far, first, second := f.catalogues[f.cells[1].Hosts[0]], f.cells[0].Hosts[0], f.cells[0].Hosts[1]
	f.catalogues[first].Publish([]*peerv1.Leaf{leaf("desk-0", 1)})
	f.pushToCell(first)
	f.exchange(f.cells[1].Hosts[0], second)
	c.Assert(far.Leaves(f.now)["desk-0"].Owner, qt.Equals, first)
	f.dead[first] = true
	home := f.cells[0].Name
	c.Assert(far.ApplyMarks(home, f.catalogues[second].Marks([]string{home}), f.now), qt.IsTrue)
	c.Assert(far.Leaves(f.now), qt.HasLen, 0)
	f.catalogues[second].Publish([]*peerv1.Leaf{leaf("desk-0", 2)})
	f.now = f.now.Add(time.Second)
	f.exchange(f.cells[1].Hosts[0], second)
	c.Assert(far.Leaves(f.now)["desk-0"].Owner, qt.Equals, second)
	c.Assert(far.Leaves(f.now.Add(disseminator.MaxAge)), qt.HasLen, 0)
}
