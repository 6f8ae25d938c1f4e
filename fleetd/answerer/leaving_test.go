package answerer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/carrier"
)

// Load: the leaf of a request hangs, and the other leaves of its service leave or are evacuated meanwhile. Guards against a
// hedge to a leaf that the view held when the request arrived and no longer holds.
func TestHedgeAvoidsLeavesThatHaveLeft(t *testing.T) {
	for _, path := range []string{"/one/2f", "/all/2f"} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			f.leaves["s0a"] = hangs
			a := f.answerer()
			time.AfterFunc(time.Millisecond, func() { f.keepOnly("s0", "s0a") })
			ask(a, path)
			qt.Assert(t, f.called("s0a"), qt.Equals, 1)
			qt.Assert(t, f.called("s0b", "s0c"), qt.Equals, 0, qt.Commentf(path))
		})
	}
}

// Guards against a retry that goes to a leaf that has left since the request arrived, while a leaf that is left would answer.
func TestRetryChoosesAmongTheLeavesOfNow(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.leaves["s0a"] = breaksLate
		a := f.answerer()
		time.AfterFunc(time.Millisecond, func() { f.keepOnly("s0", "s0c") })
		reply, _ := ask(a, "/one/2f")
		qt.Assert(t, reply.Outcome, qt.Equals, carrier.Answered)
		qt.Assert(t, f.called("s0b"), qt.Equals, 0)
		qt.Assert(t, f.called("s0c"), qt.Equals, 1)
	})
}

// Guards against a request that is sent again to the same leaf over a new connection, because its connection was lost, although
// the leaf has left meanwhile.
func TestLostCallIsNotResentToALeafThatHasLeft(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.keepOnly("s0", "s0a")
		f.leaves["s0a"] = func(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
			f.keepOnly("s0")
			return breaks(ctx, c)
		}
		ask(f.answerer(), "/one/2f")
		qt.Assert(t, f.called(), qt.Equals, 1)
	})
}
