package selector_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/selector"
)

var measureShape = flag.Int("measure", -1, "print the measurements of this shape of services (0 to 2)")

// shapes are services of a query and leaves of each, and the simulated time in seconds.
var shapes = [][3]int{{36, 3, 20}, {1, 12, 100}, {1, 46, 20}}

// TestMeasure prints the table of docs/design/balance.md.
func TestMeasure(t *testing.T) {
	if *measureShape < 0 {
		t.Skip("no shape given")
	}
	shape := shapes[*measureShape]
	choices := map[string]loadCase{
		"random": {policy: chooseAtRandom}, "present": {policy: chooseBySelector}, "perfect": {policy: choosePerfectly},
		"present, hedges postponed": {policy: chooseBySelector, postpone: true}, "new, no hedge postponed": {policy: chooseBySelector, figures: true},
		"new": {policy: chooseBySelector, figures: true, postpone: true},
	}
	for _, usage := range []float64{0.16, 0.6} {
		for _, hosts := range []int{10, 133, 1000} {
			for _, age := range []time.Duration{ownReports, 0, 100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
				for _, name := range []string{"random", "present", "present, hedges postponed", "new, no hedge postponed", "new", "perfect"} {
					c := choices[name]
					if age != ownReports && name != "present" && name != "new" {
						continue
					}
					c.services, c.leaves, c.length = shape[0], shape[1], time.Duration(shape[2])*time.Second
					c.usage, c.hosts, c.age, c.seed = usage, hosts, age, 1
					fmt.Printf("%dx%d usage %.2f hosts %d age %s %s: %s\n", c.services, c.leaves, usage, hosts, age, name, simulate(c))
				}
			}
		}
	}
}

// Load: 36 shards of 3 leaves that pause and change their speed, at twice the usual load, from 10, 133 and 1,000 hosts that know
// only what leaves report to them. Guards against slow or full leaves that are called while others of their service have free
// slots, and against a choice with slowness that serves callers worse than one without.
func TestLoadIsEvenWhereLeavesReportSlowness(t *testing.T) {
	for _, hosts := range []int{10, 133, 1000} {
		c := loadCase{services: 36, leaves: 3, usage: 0.3, hosts: hosts, age: ownReports, length: 12 * time.Second, policy: chooseBySelector, seed: 2}
		before := simulate(c)
		c.figures, c.postpone = true, true
		after := simulate(c)
		comment := qt.Commentf("%d hosts: %s, without slowness %s", hosts, after, before)
		// About ten hosts gather a portion; there the change must show.
		qt.Check(t, hosts > 10 || after.late <= before.late/2, qt.IsTrue, comment)
		// 1,000 hosts hear of a leaf once in 15 s, too rarely for any choice to be better than chance.
		qt.Check(t, hosts > 133 || after.uneven <= 0.1, qt.IsTrue, comment)
		// 0.01 and 5% are the sampling errors of these figures with some 2,300 queries.
		qt.Check(t, after.uneven <= before.uneven+0.01, qt.IsTrue, comment)
		qt.Check(t, float64(after.p99) <= 1.05*float64(before.p99), qt.IsTrue, comment)
		// Two standard errors of the difference of two shares.
		deviation := 2 * math.Sqrt((after.late*(1-after.late)+before.late*(1-before.late))/float64(before.queries))
		qt.Check(t, after.late <= before.late+deviation, qt.IsTrue, comment)
	}
}

// answered is an answer of a leaf with the given slowness, to a call of the given length.
func (w *testHost) answered(leaf int, took time.Duration, others int, slowness float64) {
	c := w.choice()
	k := w.table.Begin(w.leaves[leaf], &c, w.now)
	w.now = w.now.Add(took)
	k.End(selector.Answered, &selector.Report{Others: others, Slowness: slowness}, w.now)
}

// chooseEvenly is choose with the mean of the random numbers.
func (w *testHost) chooseEvenly(t *testing.T) selector.Decision {
	t.Helper()
	c := w.choice()
	c.Random = func() float64 { return 0.5 }
	d, ok := w.table.Decide(c, w.now)
	qt.Assert(t, ok, qt.IsTrue)
	return d
}

// Load: the host of a leaf is 2.5 times slower for 600 ms. Guards against further calls to the leaf after its first slow answer,
// against avoiding it when the report says nothing any more, and against counting the slowness again as a latency of
// the leaf, which is remembered for longer.
func TestSlowHostIsLeftAtOnceAndComesBack(t *testing.T) {
	w := newTestHost()
	w.answered(0, typical, 0, 1)
	for range 3 {
		w.answered(0, 25*time.Millisecond, 0, 2.5)
		d := w.chooseEvenly(t)
		qt.Assert(t, d.Leaf.Name, qt.Not(qt.Equals), "a")
		qt.Assert(t, d.Remote, qt.IsTrue)
	}
	w.now = w.now.Add(600 * time.Millisecond)
	d := w.chooseEvenly(t)
	qt.Assert(t, d.Leaf.Name, qt.Equals, "a")
	qt.Assert(t, d.Remote, qt.IsFalse)
	qt.Assert(t, d.Cost < 1.1, qt.IsTrue, qt.Commentf("%f", d.Cost))
}

// Load: half of the leaves are slow for 10 s. Guards against calling a slow leaf again and again because a single report
// is forgotten after 600 ms.
func TestLeafThatStaysSlowIsTriedRarely(t *testing.T) {
	w := newTestHost()
	w.answered(1, typical, 0, 1)
	tries := 0
	for end := w.now.Add(10 * time.Second); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		if w.chooseEvenly(t).Leaf.Name == "a" {
			tries++
			w.answered(0, 5*typical, 0, 5)
		} else {
			w.answered(1, typical, 0, 1)
		}
	}
	qt.Assert(t, tries > 1 && tries <= 10, qt.IsTrue, qt.Commentf("%d", tries))
}

// Load: all hosts of a service are slow. Guards against paying for traffic between data centres where nothing is gained.
func TestSlowLeafIsKeptWhereOthersAreAsSlow(t *testing.T) {
	w := newTestHost()
	for leaf := range w.leaves {
		w.answered(leaf, 25*time.Millisecond, 0, 2.5)
	}
	qt.Assert(t, w.chooseEvenly(t).Leaf.Name, qt.Equals, "a")
}

// Load: hosts with the same reports choose at the same moment. Guards against all of them calling the same one of several
// busy leaves, and against calls to other data centres or to slow leaves by chance while leaves are idle.
func TestChanceGrowsWithLoad(t *testing.T) {
	for _, test := range []struct{ others, least, most int }{{0, 1000, 1000}, {2, 400, 950}} {
		w := newTestHost()
		for leaf := range w.leaves {
			w.answered(leaf, typical, test.others, 1)
		}
		w.now = w.now.Add(100 * time.Millisecond)
		local := 0
		for i := range 1000 {
			c, n := w.choice(), 0
			c.Random = func() float64 { n++; return float64((i*7+n*n*389)%1000) / 1000 }
			if l, ok := w.table.Choose(c, w.now); ok && l.Name == "a" {
				local++
			}
		}
		qt.Check(t, local >= test.least && local <= test.most, qt.IsTrue, qt.Commentf("%d others: %d of 1000 local", test.others, local))
	}
}
