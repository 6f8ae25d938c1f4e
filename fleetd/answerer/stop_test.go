package answerer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/drainer"
)

// newStopping returns an answerer of a host that stops.
func newStopping(f *fleet, s *drainer.Schedule) *answerer.Answerer {
	bounds := answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	return answerer.New("host", "a", f, f, bounds, time.Now, answerer.WithRandom(func() float64 { return 0 }),
		answerer.WithStopSchedule(func() *drainer.Schedule { return s }))
}

// Load: a planned stop of one host, on which requests still arrive late in the grace time. Guards against taking a request
// that is then cut off without an answer: one that may run once needs its whole timeout, another one some targets.
func TestLateRequestIsRefusedByAStoppingHost(t *testing.T) {
	for _, c := range []struct {
		path  string
		left  time.Duration
		taken bool
	}{
		{"/once/2f", timeout, true},
		{"/once/2f", timeout - time.Millisecond, false},
		{"/all/2f", 4 * target, true},
		{"/all/2f", 4*target - time.Millisecond, false},
	} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			now := time.Now()
			reply, _ := ask(newStopping(f, &drainer.Schedule{Noticed: now, End: now.Add(c.left)}), c.path)
			if c.taken {
				qt.Assert(t, f.called() > 0, qt.IsTrue, qt.Commentf(c.path))
				return
			}
			qt.Assert(t, reply.Outcome, qt.Equals, carrier.Refused, qt.Commentf(c.path))
			qt.Assert(t, f.called(), qt.Equals, 0)
		})
	}
}

// Load: leaves hang during a planned stop. Guards against a request that has no answer when the process ends, and against
// an answer that says that it has not run although it may have.
func TestRequestInProgressAtTheEndOfAStopIsAnswered(t *testing.T) {
	for _, path := range []string{"/once/2f", "/one/2f", "/all/2f"} {
		for _, connected := range []bool{true, false} {
			inBubble(t, func(t *testing.T) {
				f := newFleet(1)
				want := carrier.TimedOut
				for name := range f.leaves {
					f.leaves[name] = hangs
					f.unsent[name] = !connected
				}
				if !connected {
					want = carrier.Refused
				}
				ctx, cancel := context.WithCancelCause(context.Background())
				time.AfterFunc(50*time.Millisecond, func() { cancel(drainer.ErrStopping) })
				began := time.Now()
				reply := f.answerer().Answer(ctx, &carrier.Request{ID: "1", Method: "GET", Host: "n", Path: path, Target: path, Received: began})
				qt.Assert(t, time.Since(began), qt.Equals, 50*time.Millisecond)
				qt.Assert(t, reply.Outcome, qt.Equals, want, qt.Commentf(path))
			})
		}
	}
}
