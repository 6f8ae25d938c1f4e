package selector_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/selector"
)

// Guards against reports that count for ever, and against slots of leaves that may not be called.
func TestOccupancyFades(t *testing.T) {
	table, now := selector.New(), time.Unix(1000, 0)
	leaf := &cataloguer.Leaf{Name: "l", Incarnation: 1, Center: "a", Slots: 4}
	choice := selector.Choice{Center: "a", Typical: 10 * time.Millisecond, Random: func() float64 { return 0 }}
	first, second := table.Begin(leaf, &choice, now), table.Begin(leaf, &choice, now)
	first.End(selector.Answered, &selector.Report{Others: 9}, now)
	for _, c := range []struct {
		age           time.Duration
		others, stale float64
	}{{0, 8, 0}, {250 * time.Millisecond, 8, 0}, {625 * time.Millisecond, 4, 0.5}, {time.Second, 0, 1}, {time.Hour, 0, 1}} {
		own, others, stale, callable := table.Occupancy(leaf, now.Add(c.age))
		qt.Assert(t, callable, qt.IsTrue)
		qt.Assert(t, own, qt.Equals, 1)
		qt.Assert(t, stale, qt.Equals, c.stale)
		qt.Assert(t, others, qt.Equals, c.others, qt.Commentf("%s", c.age))
	}
	callable := func(l *cataloguer.Leaf) bool {
		own, _, _, ok := table.Occupancy(l, now)
		return ok || own > 0
	}
	second.End(selector.Unreachable, nil, now)
	qt.Assert(t, callable(leaf), qt.IsFalse)
	other := &cataloguer.Leaf{Name: "m", Incarnation: 1, Slots: 4}
	table.Pause(other, now.Add(time.Second), now)
	qt.Assert(t, callable(other), qt.IsFalse)
}
