package selector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
)

// Load: calls to slow leaves lose against their hedges. Guards against slow leaves whose load is never heard, and against
// superseded calls that add work to a leaf with a queue.
func TestSupersededCallsFinishWhereTheLeafHasRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &cataloguer.Leaf{Name: "l", Incarnation: 1, Slots: 4}
	table := New()
	qt.Assert(t, table.LetsFinish(l, now), qt.IsFalse) // It reports nothing.
	for _, c := range []struct {
		report Report
		want   bool
	}{
		{Report{Others: 1}, false},
		{Report{Others: 1, Slowness: 2.5}, true},
		{Report{Others: 9, Slowness: 1}, false},
	} {
		ticket := table.Begin(l, &Choice{Typical: 10 * time.Millisecond}, now)
		ticket.End(Abandoned, nil, now)
		ticket.Late(&c.report, now)
		qt.Assert(t, table.LetsFinish(l, now), qt.Equals, c.want, qt.Commentf("%v", c.report))
	}
}
