package leaser_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/ranker"
)

var soak = flag.Bool("soak", false, "run many more seeds")

const (
	step      = 10 * time.Millisecond
	faulty    = 60 * time.Second
	faultFree = 25 * time.Second
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is a host whose clock runs up to 1% fast or slow and is off by up to 300 ms.
type node struct {
	name        string
	rate        float64
	offset      time.Duration
	incarnation uint64
	holder      *leaser.Holder
	granter     *leaser.Granter
	paused      time.Duration // simulation time until which the process is paused
}

type event struct {
	at          time.Duration
	to          *node
	incarnation uint64 // incarnation of the receiver; 0 means any
	run         func(n *node)
	rank        int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].rank < e[j].rank
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// world simulates a network of hosts with message delay and loss, one-way partitions, process pauses and restarts, and
// false failure detections.
type world struct {
	random    *rand.Rand
	now       time.Duration
	nodes     map[string]*node
	names     []string
	cell      ranker.Cell
	leaves    []string
	queue     events
	rank      int
	cut       map[string]bool
	suspect   map[string]bool
	faultFree bool
	// maxEpoch is the greatest epoch of each leaf, and last the host and incarnation that held it last.
	maxEpoch map[string]uint64
	last     map[string]string
	changes  int
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), nodes: make(map[string]*node), cut: make(map[string]bool),
		suspect: make(map[string]bool), maxEpoch: make(map[string]uint64), last: make(map[string]string),
	}
	for i := range hosts {
		w.names = append(w.names, fmt.Sprintf("host-%d", i))
	}
	w.cell = ranker.Cell{Name: "c/0", Center: "c", Hosts: w.names, Granters: w.names[:3]}
	for i := range 4 {
		w.leaves = append(w.leaves, fmt.Sprintf("leaf-%d", i))
	}
	for _, name := range w.names {
		n := &node{
			name: name, rate: 0.99 + 0.02*w.random.Float64(),
			offset: time.Duration(w.random.Int64N(int64(600*time.Millisecond))) - 300*time.Millisecond,
		}
		w.nodes[name] = n
		w.start(n)
	}
	return w
}

func (w *world) local(n *node) time.Time {
	return epochStart.Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

func (w *world) start(n *node) {
	n.incarnation++
	n.holder = leaser.NewHolder(n.name, n.incarnation, w.random.Uint64())
	n.granter = leaser.NewGranter(w.local(n))
	n.granter.Configure([]uint64{leaser.Group(w.cell)}, w.local(n))
	n.holder.Configure(w.cell, w.leaves)
}

func (w *world) at(delay time.Duration, to *node, incarnation uint64, run func(*node)) {
	w.rank++
	heap.Push(&w.queue, event{at: w.now + delay, to: to, incarnation: incarnation, run: run, rank: w.rank})
}

func (w *world) delay() time.Duration {
	if w.faultFree || w.random.IntN(10) > 0 {
		return time.Duration(w.random.Int64N(int64(5 * time.Millisecond)))
	}
	return time.Duration(w.random.Int64N(int64(3 * time.Second)))
}

func (w *world) lost(from, to string) bool {
	return !w.faultFree && (w.cut[from+">"+to] || w.random.IntN(20) == 0)
}

// send delivers a request to a granter and its response to the sender; either may be lost or delayed.
func (w *world) send(from *node, m leaser.Message) {
	incarnation := from.incarnation
	if w.lost(from.name, m.To) {
		return
	}
	w.at(w.delay(), w.nodes[m.To], 0, func(to *node) {
		response := to.granter.Handle(m.Request, w.local(to))
		if len(m.Request.Releases) > 0 || m.Request.Leaving {
			to.holder.Released(m.Request, w.local(to))
		}
		if w.lost(to.name, from.name) {
			return
		}
		w.at(w.delay(), from, incarnation, func(n *node) { n.holder.Receive(m, response, w.local(n)) })
	})
}

func (w *world) dead(observer string) func(string) bool {
	return func(host string) bool {
		n := w.nodes[host]
		return w.suspect[observer+">"+host] || n.paused > w.now+time.Second
	}
}

func (w *world) tick() {
	for _, name := range w.names {
		n := w.nodes[name]
		if n.paused > w.now {
			continue
		}
		if w.now%(100*time.Millisecond) == 0 {
			now := w.local(n)
			messages := n.holder.Tick(now, w.dead(name))
			var ended []string
			for _, leaf := range w.leaves {
				if l, ok := n.holder.Lease(leaf, now); ok && l.Releasing && w.random.IntN(3) == 0 {
					ended = append(ended, leaf)
				}
			}
			if len(ended) > 0 {
				messages = append(messages, n.holder.Release(ended, now)...)
			}
			for _, m := range messages {
				w.send(n, m)
			}
		}
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		e := heap.Pop(&w.queue).(event)
		if e.to.paused > w.now {
			w.at(e.to.paused-w.now, e.to, e.incarnation, e.run)
			continue
		}
		if e.incarnation == 0 || e.incarnation == e.to.incarnation {
			e.run(e.to)
		}
	}
}

func (w *world) injectFault() {
	if w.random.IntN(30) > 0 {
		return
	}
	a, b := w.names[w.random.IntN(len(w.names))], w.names[w.random.IntN(len(w.names))]
	switch w.random.IntN(6) {
	case 0:
		w.nodes[a].paused = w.now + time.Duration(w.random.Int64N(int64(5*time.Second)))
	case 1:
		w.start(w.nodes[a])
	case 2:
		w.cut[a+">"+b] = !w.cut[a+">"+b]
	case 3:
		w.suspect[a+">"+b] = !w.suspect[a+">"+b]
	case 4:
		w.cut, w.suspect = make(map[string]bool), make(map[string]bool)
	case 5:
		w.nodes[a].holder.Leave()
		w.at(2*time.Second, w.nodes[a], w.nodes[a].incarnation, func(n *node) { w.start(n) })
	}
}

// check asserts that at this instant, judged by each host's own clock, at most one host holds each leaf, paused hosts
// included, and that a new holder has a greater epoch than all earlier ones.
func (w *world) check(c *qt.C) {
	for _, leaf := range w.leaves {
		held := ""
		for _, name := range w.names {
			n := w.nodes[name]
			l, ok := n.holder.Lease(leaf, w.local(n))
			if !ok {
				continue
			}
			c.Assert(held, qt.Equals, "", qt.Commentf("%s at %s: %s and %s hold it", leaf, w.now, held, name))
			held = name
			who := fmt.Sprintf("%s/%d", name, n.incarnation)
			if who != w.last[leaf] {
				c.Assert(l.Epoch > w.maxEpoch[leaf], qt.IsTrue, qt.Commentf("%s at %s: epoch of %s does not increase", leaf, w.now, name))
				w.last[leaf] = who
				w.changes++
			}
			c.Assert(l.Epoch >= w.maxEpoch[leaf], qt.IsTrue, qt.Commentf("%s at %s: epoch decreased", leaf, w.now))
			w.maxEpoch[leaf] = l.Epoch
		}
	}
}

func (w *world) run(c *qt.C) {
	for ; w.now < faulty; w.now += step {
		w.injectFault()
		w.tick()
		w.check(c)
	}
	w.faultFree = true
	w.cut, w.suspect = make(map[string]bool), make(map[string]bool)
	for ; w.now < faulty+faultFree; w.now += step {
		w.tick()
		w.check(c)
	}
}

// Guards against two hosts that hold the lease on the same leaf, against epochs that do not increase, and against
// leaves that do not return to their preferred owner after all faults have ended.
func TestOneHolderUnderFaults(t *testing.T) {
	seeds := 20
	if *soak {
		seeds = 500
	}
	changes := 0
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(uint64(seed), 3+seed%4)
			w.run(c)
			for _, leaf := range w.leaves {
				preferred := w.nodes[ranker.Order(leaf, w.names)[0]]
				_, ok := preferred.holder.Lease(leaf, w.local(preferred))
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s has not returned to %s", leaf, preferred.name))
			}
			changes += w.changes
		})
	}
	qt.Assert(t, changes > seeds*10, qt.IsTrue, qt.Commentf("only %d changes of owner, too few to be a valid test", changes))
}

// Guards against a granter that votes before its earlier grants have certainly ended, and against one that votes in a
// group for which it is not configured.
func TestGranterWaits(t *testing.T) {
	cell := ranker.Cell{Name: "c/0", Hosts: []string{"a", "b", "c"}, Granters: []string{"a", "b", "c"}}
	group := leaser.Group(cell)
	g := leaser.NewGranter(epochStart)
	g.Configure([]uint64{group}, epochStart)
	request := leaser.Request{Host: "a", Incarnation: 1, Sequence: 1, Group: group, Claims: []leaser.Claim{{Leaf: "x"}}}
	early := g.Handle(request, epochStart.Add(leaser.Term-1))
	qt.Assert(t, early.Granted, qt.HasLen, 0)
	qt.Assert(t, g.Handle(request, epochStart.Add(leaser.Term)).Granted, qt.HasLen, 1)
	other := request
	other.Group++
	qt.Assert(t, g.Handle(other, epochStart.Add(leaser.Term)).GroupMismatch, qt.IsTrue)
	g.Configure([]uint64{group, other.Group}, epochStart.Add(leaser.Term))
	qt.Assert(t, g.Handle(other, epochStart.Add(2*leaser.Term-1)).Granted, qt.HasLen, 0)
}

// Guards against a release that arrives after a later renewal and ends a lease that is still in use.
func TestLateReleaseFreesNothing(t *testing.T) {
	group := leaser.Group(ranker.Cell{})
	g := leaser.NewGranter(epochStart)
	g.Configure([]uint64{group}, epochStart)
	now := epochStart.Add(leaser.Term)
	renewal := leaser.Request{Host: "a", Incarnation: 1, Sequence: 5, Group: group, Claims: []leaser.Claim{{Leaf: "x"}}}
	g.Handle(renewal, now)
	g.Handle(leaser.Request{Host: "a", Incarnation: 1, Sequence: 4, Group: group, Releases: []string{"x"}}, now)
	holder, ok := g.Holder("x", now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, holder, qt.Equals, "a")
}
