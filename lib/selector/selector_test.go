package selector_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/selector"
)

const typical = 10 * time.Millisecond

var start = time.Unix(1000, 0)

// testHost simulates a host in data centre a, with one leaf in each of three data centres.
type testHost struct {
	table  *selector.Table
	leaves []*cataloguer.Leaf
	now    time.Time
}

func newTestHost() *testHost {
	w := &testHost{table: selector.New(), now: start}
	for _, name := range []string{"a", "b", "c"} {
		w.leaves = append(w.leaves, &cataloguer.Leaf{Name: name, Center: name, Slots: 2, Incarnation: 1})
	}
	return w
}

func (w *testHost) choice() selector.Choice {
	return selector.Choice{Holders: w.leaves, Center: "a", Typical: typical, Random: func() float64 { return 0 }}
}

func (w *testHost) choose(t *testing.T) string {
	t.Helper()
	l, ok := w.table.Choose(w.choice(), w.now)
	qt.Assert(t, ok, qt.IsTrue)
	return l.Name
}

func (w *testHost) call(leaf int, took time.Duration, end selector.End) {
	c := w.choice()
	k := w.table.Begin(w.leaves[leaf], &c, w.now)
	w.now = w.now.Add(took)
	k.End(end, nil, w.now)
}

// Guards against unnecessary traffic between data centres, and against queueing at a local leaf while others are idle.
func TestOwnDataCentreFirstWhileItHasRoom(t *testing.T) {
	w := newTestHost()
	qt.Assert(t, w.choose(t), qt.Equals, "a")
	c := w.choice()
	for range 3 {
		w.table.Begin(w.leaves[0], &c, w.now)
	}
	qt.Assert(t, w.choose(t), qt.Not(qt.Equals), "a")
}

// Load: a leaf pauses for 120 ms now and then. Guards against sending more calls to a leaf during its pause, and
// against avoiding it after the pause.
func TestPausingLeafGetsNoNewCalls(t *testing.T) {
	w := newTestHost()
	c := w.choice()
	k := w.table.Begin(w.leaves[0], &c, w.now)
	w.now = w.now.Add(3 * typical)
	qt.Assert(t, w.choose(t), qt.Not(qt.Equals), "a")
	w.now = w.now.Add(9 * typical)
	k.End(selector.Answered, nil, w.now)
	qt.Assert(t, w.choose(t), qt.Equals, "a")
}

// Load: a leaf pauses and its calls are abandoned because hedges answer first. Guards against treating the leaf as
// responsive once its calls are abandoned.
func TestCallGivenUpStillCountsAsOverdue(t *testing.T) {
	w := newTestHost()
	w.call(0, 4*typical, selector.Abandoned)
	qt.Assert(t, w.choose(t), qt.Not(qt.Equals), "a")
	w.now = w.now.Add(300 * time.Millisecond)
	qt.Assert(t, w.choose(t), qt.Equals, "a")
}

// Load: 15 of 100 leaves are 9 times slower for 8 s. Guards against calling a slow leaf repeatedly, and against never
// trying it again.
func TestSlowLeafIsAvoidedForAWhile(t *testing.T) {
	w := newTestHost()
	w.call(0, 9*typical, selector.Answered)
	w.call(0, 9*typical, selector.Answered)
	for range 10 {
		qt.Assert(t, w.choose(t), qt.Not(qt.Equals), "a")
		w.now = w.now.Add(100 * time.Millisecond)
	}
	w.now = w.now.Add(10 * time.Second)
	qt.Assert(t, w.choose(t), qt.Equals, "a")
}

// Load: 80 of 100 leaves shed 60% of their requests. Guards against preferring a local leaf that sheds requests to a
// remote one that does not.
func TestSheddingLeafIsAvoided(t *testing.T) {
	w := newTestHost()
	for range 3 {
		w.call(0, time.Millisecond, selector.Shed)
	}
	qt.Assert(t, w.choose(t), qt.Not(qt.Equals), "a")
}

// Load: a leaf crashes or stops responding. Guards against calling an unreachable leaf, against probing it with many
// calls at once, and against not noticing that it has recovered.
func TestUnreachableLeafIsProbedByOneCall(t *testing.T) {
	w := newTestHost()
	w.leaves = w.leaves[:1]
	w.call(0, time.Millisecond, selector.Unreachable)
	_, ok := w.table.Choose(w.choice(), w.now)
	qt.Assert(t, ok, qt.IsFalse)
	forced := w.choice()
	forced.Force = true
	_, ok = w.table.Choose(forced, w.now)
	qt.Assert(t, ok, qt.IsTrue)
	w.now = w.now.Add(200 * time.Millisecond)
	qt.Assert(t, w.choose(t), qt.Equals, "a")
	c := w.choice()
	probe := w.table.Begin(w.leaves[0], &c, w.now)
	_, ok = w.table.Choose(w.choice(), w.now)
	qt.Assert(t, ok, qt.IsFalse)
	probe.End(selector.Answered, nil, w.now.Add(typical))
	qt.Assert(t, w.choose(t), qt.Equals, "a")
}

// Load: a leaf stops responding while every call to it is abandoned early, because a hedge answers or the target time
// has passed. Guards against calling it forever because no single call lasts long enough to show that it is
// unreachable.
func TestDarkLeafIsShutAlthoughCallsAreGivenUpEarly(t *testing.T) {
	w := newTestHost()
	w.leaves = w.leaves[:1]
	for range 3 {
		w.call(0, 4*typical, selector.Unsent)
	}
	_, ok := w.table.Choose(w.choice(), w.now)
	qt.Assert(t, ok, qt.IsFalse)
}

// Load: a leaf is 11 times slower, and the hedge of every call to it answers first. Guards against treating it as
// unreachable, which leaves its shard without an answer when the other leaves are down.
func TestSlowLeafIsNotShut(t *testing.T) {
	w := newTestHost()
	w.leaves = w.leaves[:1]
	for range 20 {
		w.call(0, 4*typical, selector.Abandoned)
		w.choose(t)
	}
}

// Guards against applying a leaf's statistics to its next incarnation, which must start with empty ones.
func TestNewIncarnationStartsWithoutEvidence(t *testing.T) {
	w := newTestHost()
	w.call(0, time.Millisecond, selector.Unreachable)
	next := *w.leaves[0]
	next.Incarnation = 2
	w.leaves[0] = &next
	qt.Assert(t, w.choose(t), qt.Equals, "a")
}

// Load: a data centre restarts with cold leaves. Guards against sending a cold leaf more calls than this host's share
// of its cold rate.
func TestColdLeafGetsCallsAtIntervals(t *testing.T) {
	w := newTestHost()
	w.leaves = w.leaves[:1]
	w.leaves[0].ColdUntil = start.Add(time.Minute)
	sent := 0
	for w.now.Before(start.Add(10 * time.Second)) {
		c := w.choice()
		c.Cold = selector.ColdShare{Bound: 20, Hosts: 9, Index: 3}
		if l, ok := w.table.Choose(c, w.now); ok {
			sent++
			w.table.Begin(l, &c, w.now).End(selector.Answered, nil, w.now.Add(typical))
		}
		w.now = w.now.Add(typical)
	}
	qt.Assert(t, sent, qt.Equals, 19)
}

// All hosts have requests for one cold leaf all the time, and differ by up to 300 ms in when they expect it to be warm. Guards
// against a sum over all hosts above the bound in any second, and against a host that gets no turn.
func TestHostsShareAColdLeaf(t *testing.T) {
	const step, skews = 50 * time.Millisecond, 4
	for _, bound := range []float64{1, 2.5, 5, 20} {
		for _, hosts := range []int{1, 4, 9, 194} {
			turns := time.Duration(max(1, (hosts+int(bound)-1)/int(bound)))
			until := start.Add((turns + 1) * 3 * time.Second)
			tables, leaves, sent := make([]*selector.Table, hosts), make([]*cataloguer.Leaf, hosts), make([]int, hosts)
			for i := range tables {
				tables[i] = selector.New()
				leaves[i] = &cataloguer.Leaf{Name: "a", Incarnation: 1, ColdUntil: until.Add(time.Duration(i%skews) * 100 * time.Millisecond)}
			}
			var perStep []int
			for now := start; now.Before(until); now = now.Add(step) {
				count := 0
				for i, table := range tables {
					c := selector.Choice{Cold: selector.ColdShare{Bound: bound, Hosts: hosts, Index: i}}
					if table.PermitSend(leaves[i], &c, now) {
						sent[i]++
						count++
					}
				}
				perStep = append(perStep, count)
			}
			comment := qt.Commentf("bound %v, %d hosts", bound, hosts)
			for i := range perStep {
				sum := 0
				for _, n := range perStep[i:min(i+int(time.Second/step)+1, len(perStep))] {
					sum += n
				}
				qt.Assert(t, sum <= int(bound), qt.IsTrue, qt.Commentf("%d calls; bound %v, %d hosts", sum, bound, hosts))
			}
			qt.Assert(t, slices.Min(sent) > 0, qt.IsTrue, comment)
		}
	}
}

// Guards against a host that takes too large a share, because it has started with all others and not heard of them yet, or
// because others are cut off and still send.
func TestHostCount(t *testing.T) {
	var h selector.HostCount
	_, settled := h.Observe(1, start)
	qt.Assert(t, settled, qt.IsFalse)
	count, settled := h.Observe(9, start.Add(time.Second))
	qt.Assert(t, settled, qt.IsTrue)
	qt.Assert(t, count, qt.Equals, 9)
	count, _ = h.Observe(4, start.Add(11*time.Second))
	qt.Assert(t, count, qt.Equals, 9)
	count, _ = h.Observe(4, start.Add(22*time.Second))
	qt.Assert(t, count, qt.Equals, 4)
}
