package budgeter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/budgeter"
)

// Load: a broad slowdown in which every request wants a hedge. Guards against more extra calls than the ratio permits
// in any window, wherever it starts.
func TestExtraCallsKeepToTheRatioInAnyWindow(t *testing.T) {
	const length, ratio = 10 * time.Second, 0.2
	random := rand.New(rand.NewPCG(1, 1))
	w := budgeter.NewWindow(length, ratio)
	type event struct {
		at    time.Duration
		extra bool
	}
	var events []event
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < time.Minute; at += time.Duration(random.Int64N(int64(20 * time.Millisecond))) {
		now := start.Add(at)
		w.Request("desk", now)
		events = append(events, event{at: at})
		if w.Spend("desk", 0, now) {
			events = append(events, event{at: at, extra: true})
		}
	}
	for i := range events {
		requests, extras := 0, 0
		for _, e := range events[i:] {
			if e.at-events[i].at >= length {
				break
			}
			if e.extra {
				extras++
			} else {
				requests++
			}
		}
		// The last windows are truncated, and the limit depends on requests before them too.
		if events[i].at < 50*time.Second {
			qt.Assert(t, float64(extras) <= ratio*float64(requests)+2, qt.IsTrue, qt.Commentf("%d of %d at %s", extras, requests, events[i].at))
		}
	}
}

// Guards against using the slack more than once in a window, and against slack that never becomes available again.
func TestSlackReturnsAfterTheWindow(t *testing.T) {
	w := budgeter.NewWindow(10*time.Second, 0.2)
	start := time.Unix(1000, 0)
	qt.Assert(t, w.Spend("desk", 2, start), qt.IsTrue)
	qt.Assert(t, w.Spend("desk", 2, start.Add(time.Second)), qt.IsTrue)
	qt.Assert(t, w.Spend("desk", 2, start.Add(9*time.Second)), qt.IsFalse)
	qt.Assert(t, w.Spend("desk", 2, start.Add(10*time.Second)), qt.IsTrue)
	qt.Assert(t, w.Remaining("desk", 2, start.Add(10*time.Second)), qt.Equals, 0.0)
}

// Guards against a share of the budget that differs from what Spend still permits, and against one without any requests.
func TestShareOfTheBudget(t *testing.T) {
	w := budgeter.NewWindow(10*time.Second, 0.2)
	now := time.Unix(1000, 0)
	qt.Assert(t, w.Share("desk", 0, now), qt.Equals, 0.0)
	for range 40 {
		w.Request("desk", now)
	}
	for left := 10; left > 0; left-- {
		qt.Assert(t, math.Abs(w.Share("desk", 2, now)-float64(left)/10) < 1e-9, qt.IsTrue)
		qt.Assert(t, w.Spend("desk", 2, now), qt.IsTrue)
	}
	qt.Assert(t, w.Spend("desk", 2, now), qt.IsFalse)
	qt.Assert(t, w.Share("desk", 2, now), qt.Equals, 0.0)
	qt.Assert(t, w.Share("desk", 2, now.Add(10*time.Second)), qt.Equals, 1.0)
}
