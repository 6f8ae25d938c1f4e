package answerer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/carrier"
)

// pause is how long the leaves of these tests want no requests.
const pause = 3 * time.Second

// pauses refuses every call and wants no more for a while.
func pauses(_ context.Context, c *carrier.Call) (*carrier.Answer, error) {
	return &carrier.Answer{Status: 503, ID: c.Request.ID, NotRun: true, RetryAfter: pause}, nil
}

// Load: a leaf refuses requests and says for how long. Guards against first calls, hedges and retries that it gets before the
// end of that time, and against never calling it again.
func TestPausedLeafGetsNothingUntilItsTimeIsOver(t *testing.T) {
	for _, path := range []string{"/one/2f", "/all/2f", "/once/2f"} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			f.leaves["s0a"] = pauses
			for _, name := range []string{"s0b", "s0c"} {
				f.leaves[name] = f.answers(name, 20*typical) // Hedges are due, and the other leaves are no better than a refusing one.
			}
			a := f.answerer()
			began := time.Now()
			for time.Since(began) < pause-timeout {
				ask(a, path)
				time.Sleep(50 * time.Millisecond)
			}
			qt.Assert(t, f.called("s0a"), qt.Equals, 1)
			f.leaves["s0a"] = f.answers("s0a", typical)
			time.Sleep(pause)
			for range 20 {
				ask(a, path)
			}
			qt.Assert(t, f.called("s0a") > 1, qt.IsTrue)
		})
	}
}

// Load: all leaves of a service refuse requests and say for how long. Guards against requests that wait although nothing can
// serve them, against calls to such leaves for lack of others, and against a caller who is told to come back too early.
func TestRequestsWhileAllLeavesArePausedAreRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/one/2f", "/all/2f", "/once/2f"} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			for name := range f.leaves {
				f.leaves[name] = pauses
			}
			a := f.answerer()
			ask(a, path)
			ask(a, path)
			sent := f.called()
			qt.Assert(t, sent, qt.Equals, 3)
			time.Sleep(time.Second)
			reply, took := ask(a, path)
			qt.Assert(t, reply.Outcome, qt.Equals, carrier.Refused, qt.Commentf(path))
			qt.Assert(t, took, qt.Equals, time.Duration(0))
			qt.Assert(t, reply.RetryAfter, qt.Equals, pause-time.Second)
			qt.Assert(t, f.called(), qt.Equals, sent)
		})
	}
}

// Load: a leaf refuses one call while others to it wait for a connection. Guards against sending these once they are connected.
func TestCallsThatWaitForAPausedLeafAreWithdrawn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.keepOnly("s0", "s0a")
		f.unsent["s0a"] = true
		withdrawn := 0
		f.leaves["s0a"] = func(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
			time.Sleep(time.Second)
			if c.Withdrawn() {
				withdrawn++
				return connecting(ctx, c)
			}
			return pauses(ctx, c)
		}
		a := f.answerer()
		go func() { ask(a, "/one/1") }()
		time.Sleep(100 * time.Millisecond)
		ask(a, "/one/2")
		qt.Assert(t, withdrawn, qt.Equals, 1)
	})
}
