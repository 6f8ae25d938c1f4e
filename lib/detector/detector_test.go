package detector_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/detector"
)

var soak = flag.Bool("soak", false, "run with many more seeds")

const step = 10 * time.Millisecond

// network delivers messages between detectors with a delay of one step, except those lost to a partition or at random.
type network struct {
	now         time.Time
	random      *rand.Rand
	loss        float64
	partitioned func(from, to string) bool
	stopped     map[string]bool
	hosts       map[string]*detector.Detector
	names       []string
	queue       []func()
	messages    int
	largest     int
	changes     []detector.Change
}

func newNetwork(size int, seed uint64) *network {
	n := &network{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), stopped: make(map[string]bool),
		hosts: make(map[string]*detector.Detector), partitioned: func(string, string) bool { return false },
	}
	for i := range size {
		n.names = append(n.names, fmt.Sprintf("h%d", i))
	}
	for i, name := range n.names {
		n.hosts[name] = detector.New(name, 1, seed*100+uint64(i), n.now)
		n.hosts[name].SetHosts(n.names, n.now)
	}
	return n
}

func (n *network) deliver(from, to string, f func()) {
	n.messages++
	if n.partitioned(from, to) || n.random.Float64() < n.loss {
		return
	}
	n.queue = append(n.queue, func() {
		if !n.stopped[to] {
			f()
		}
	})
}

func (n *network) updates(from, to string) []detector.Update {
	out := n.hosts[from].Updates(to)
	n.largest = max(n.largest, len(out))
	return out
}

// probe sends a probe and calls answered at the prober with the incarnation of the response.
func (n *network) probe(from, to string, answered func(incarnation uint64)) {
	inc, updates := n.hosts[from].Self().Incarnation, n.updates(from, to)
	n.deliver(from, to, func() {
		n.hosts[to].Received(from, inc, updates, n.now)
		inc, updates := n.hosts[to].Self().Incarnation, n.updates(to, from)
		n.deliver(to, from, func() {
			n.hosts[from].Received(to, inc, updates, n.now)
			answered(inc)
		})
	})
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		queue := n.queue
		n.queue = nil
		for _, f := range queue {
			f()
		}
		for _, name := range n.names {
			if n.stopped[name] {
				continue
			}
			h := n.hosts[name]
			for _, a := range h.Tick(n.now) {
				n.perform(name, h, a)
			}
			n.changes = append(n.changes, h.Changes()...)
		}
	}
}

func (n *network) perform(name string, h *detector.Detector, a detector.Action) {
	if a.Kind == detector.Probe {
		n.probe(name, a.Target, func(inc uint64) { h.Acked(a.Target, inc, n.now) })
		return
	}
	n.deliver(name, a.Via, func() {
		n.probe(a.Via, a.Target, func(inc uint64) {
			n.deliver(a.Via, name, func() { h.Acked(a.Target, inc, n.now) })
		})
	})
}

// dead counts the transitions to Dead.
func (n *network) dead() int {
	count := 0
	for _, c := range n.changes {
		if c.State == detector.Dead {
			count++
		}
	}
	return count
}

func (n *network) allLive(c *qt.C) {
	for _, h := range n.names {
		for _, other := range n.names {
			c.Assert(n.hosts[h].Live(other), qt.IsTrue, qt.Commentf("%s about %s", h, other))
		}
	}
}

// forEachSeed runs a test for a few fixed seeds, or for many with -soak.
func forEachSeed(t *testing.T, f func(c *qt.C, seed uint64)) {
	seeds := uint64(5)
	if *soak {
		seeds = 300
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { f(qt.New(t), seed) })
	}
}

// Guards against hosts that flap at 20% message loss.
func TestLossCausesNoVerdict(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64) {
		n := newNetwork(9, seed)
		n.loss = 0.2
		n.run(5 * time.Minute)
		c.Assert(n.dead(), qt.Equals, 0)
	})
}

// Guards against a dead host that retains its leaves for too long.
func TestKilledHostIsDeadWithinFourSeconds(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64) {
		for _, size := range []int{2, 3, 9} {
			n := newNetwork(size, seed)
			n.run(10 * time.Second)
			n.stopped["h0"] = true
			n.run(4 * time.Second)
			for _, name := range n.names[1:] {
				c.Assert(n.hosts[name].Live("h0"), qt.IsFalse, qt.Commentf("size %d at %s", size, name))
			}
			c.Assert(n.dead(), qt.Equals, size-1)
		}
	})
}

// Guards against a process that was paused and afterwards suspects all other hosts, or never becomes live again.
func TestPausedHostReturnsOnceAndAccusesNobody(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64) {
		n := newNetwork(9, seed)
		n.run(5 * time.Second)
		n.stopped["h0"] = true
		n.run(10 * time.Second)
		n.stopped["h0"] = false
		n.run(10 * time.Second)
		n.allLive(c)
		for _, change := range n.changes {
			c.Assert(change.Host, qt.Equals, "h0")
		}
		c.Assert(n.dead(), qt.Equals, 8)
	})
}

// Guards against declaring a host dead that a single other host cannot reach, and against a host that receives no
// messages and declares the rest of the cell dead.
func TestOneWayCuts(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64) {
		n := newNetwork(9, seed)
		n.partitioned = func(from, to string) bool { return from == "h0" && to == "h1" }
		n.run(2 * time.Minute)
		c.Assert(n.dead(), qt.Equals, 0)
		n.partitioned = func(_, to string) bool { return to == "h0" }
		n.run(2 * time.Minute)
		for _, change := range n.changes {
			c.Assert(change.Host, qt.Equals, "h0")
		}
		c.Assert(n.dead(), qt.Equals, 8)
		n.partitioned = func(string, string) bool { return false }
		n.run(15 * time.Second)
		n.allLive(c)
	})
}

// Guards against a storm of messages and states that revert when two halves of a cell rejoin after an hour.
func TestHalvesRejoinWithoutAStorm(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64) {
		n := newNetwork(8, seed)
		n.run(5 * time.Second)
		side := func(name string) bool { return name < "h4" }
		n.partitioned = func(from, to string) bool { return side(from) != side(to) }
		n.run(time.Hour)
		n.partitioned = func(string, string) bool { return false }
		n.messages, n.changes = 0, nil
		n.run(20 * time.Second)
		n.allLive(c)
		c.Assert(n.dead(), qt.Equals, 0)
		perHost := float64(n.messages) / 20 / 8
		c.Assert(perHost < maxMessageRate, qt.IsTrue, qt.Commentf("%.1f messages per second and host", perHost))
	})
}

// maxMessageRate is the number of messages that a host may send per second without loss: 2 probes with their responses,
// and the same number for dead hosts and suspects.
const maxMessageRate = 10.0

// Guards against a cost that grows with the number of hosts, and against messages of unlimited size.
func TestMessagesDoNotGrowWithTheCell(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{2, 5, 9} {
		n := newNetwork(size, 1)
		n.run(time.Minute)
		perHost := float64(n.messages) / 60 / float64(size)
		c.Logf("%d hosts: %.2f messages per second and host", size, perHost)
		c.Assert(perHost <= 4.1, qt.IsTrue)
		n.loss = 0.2
		n.run(time.Minute)
		c.Assert(n.largest <= detector.MaxUpdates, qt.IsTrue)
	}
}

// Guards against a graceful stop that is treated as a failure, and against a restarted host that does not become live.
func TestLeftHostIsNotSuspectedAndReturnsWithANewIncarnation(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64) {
		n := newNetwork(5, seed)
		n.run(3 * time.Second)
		n.hosts["h0"].Leave()
		for _, to := range n.names[1:] {
			inc := n.hosts["h0"].Self()
			n.deliver("h0", to, func() { n.hosts[to].Received("", 0, []detector.Update{inc}, n.now) })
		}
		n.run(5 * time.Second)
		c.Assert(n.hosts["h1"].Live("h0"), qt.IsFalse)
		c.Assert(n.dead(), qt.Equals, 0)
		n.hosts["h0"] = detector.New("h0", 2, seed, n.now)
		n.hosts["h0"].SetHosts(n.names, n.now)
		n.run(10 * time.Second)
		n.allLive(c)
	})
}
