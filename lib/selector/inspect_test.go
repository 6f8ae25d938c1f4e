package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/selector"
)

// Guards against an inspection whose cost, slowness or probability of the choice differs from what Decide uses, where leaves report
// slowness and where they do not, and against a barred leaf that counts as a candidate.
func TestInspectAgreesWithDecide(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for trial := range 20 {
		w := newTestHost()
		c := w.choice()
		c.Random = random.Float64
		for i, l := range w.leaves {
			report := &selector.Report{Others: random.IntN(4)}
			if trial%2 == 0 && (i > 0 || trial%4 == 0) {
				report.Slowness = 0.5 + 2*random.Float64()
			}
			w.table.Begin(l, &c, w.now).End(selector.Answered, report, w.now.Add(typical))
		}
		w.now = w.now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		if trial%5 == 0 {
			w.table.Pause(w.leaves[random.IntN(3)], w.now.Add(time.Second), w.now)
		}
		candidates := w.table.Inspect(c, w.now)
		first, second, odds := selector.Preferred(candidates)
		qt.Assert(t, candidates[first].Cost <= candidates[second].Cost, qt.IsTrue)
		const draws = 4000
		times := 0
		for range draws {
			d, ok := w.table.Decide(c, w.now)
			qt.Assert(t, ok, qt.IsTrue)
			for _, candidate := range candidates {
				if candidate.Leaf == d.Leaf {
					qt.Assert(t, candidate.Barred, qt.Equals, selector.Reason(""))
					qt.Assert(t, candidate.Cost, qt.Equals, d.Cost)
					qt.Assert(t, candidate.Slowness, qt.Equals, d.Slowness)
				}
			}
			if d.Leaf == candidates[first].Leaf {
				times++
			}
		}
		share := float64(times) / draws
		qt.Assert(t, share > odds-0.04 && share < odds+0.04, qt.IsTrue, qt.Commentf("trial %d: chosen with %.3f, expected %.3f", trial, share, odds))
	}
}

// Guards against a cold leaf that is shown as callable although its bound is used up or it is another host's turn, and against an
// inspected number of hosts that is not the one that limits calls.
func TestInspectKeepsToColdShares(t *testing.T) {
	leaf := &cataloguer.Leaf{Name: "x", Center: "a", Slots: 1, Incarnation: 1, ColdUntil: start.Add(time.Hour)}
	table := selector.New()
	c := selector.Choice{Holders: []*cataloguer.Leaf{leaf}, Center: "a", Typical: typical, Cold: selector.ColdShare{Bound: 2, Hosts: 1}}
	inspect := func() selector.Candidate { return table.Inspect(c, start)[0] }
	qt.Assert(t, inspect().Barred, qt.Equals, selector.Reason(""))
	qt.Assert(t, table.PermitSend(leaf, &c, start), qt.IsTrue)
	qt.Assert(t, inspect().Barred, qt.Equals, selector.ColdLimit)
	qt.Assert(t, inspect().Until.After(start), qt.IsTrue)
	c.Cold.Unsettled = true
	qt.Assert(t, inspect().Barred, qt.Equals, selector.ColdLimit)
	qt.Assert(t, inspect().Until.IsZero(), qt.IsTrue)

	var seen, inspected selector.HostCount
	for i := range 10 {
		now := start.Add(time.Duration(i) * 7 * time.Second)
		before := inspected
		count, settled := inspected.Inspect(10-i, now)
		qt.Assert(t, inspected == before, qt.IsTrue)
		observed, known := seen.Observe(10-i, now)
		qt.Assert(t, count, qt.Equals, observed)
		qt.Assert(t, settled, qt.Equals, known)
		inspected.Observe(10-i, now)
	}
}
