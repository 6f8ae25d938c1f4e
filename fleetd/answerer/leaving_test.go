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

// leaves answers as a leaf that is leaving.
func leaves(_ context.Context, c *carrier.Call) (*carrier.Answer, error) {
	return &carrier.Answer{Status: 200, Stamp: "s", ID: c.Request.ID, Body: []byte("0123456789abcdef"), Leaving: true}, nil
}

// Guards against calls to a leaf that has said in an answer that it leaves, while no control host has reported it: the answer
// may belong to a part or to a single request, or come after the query has ended. A later incarnation is called again.
func TestLeafThatSaysThatItLeavesIsNotCalledAgain(t *testing.T) {
	for _, path := range []string{"/one/2f", "/all/2f", "/once/2f"} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			f.leaves["s0a"] = leaves
			a := f.answerer()
			reply, _ := ask(a, path)
			qt.Assert(t, reply.Outcome == carrier.Answered || reply.Outcome == carrier.Gathered, qt.IsTrue)
			for range 50 {
				ask(a, path)
			}
			qt.Assert(t, f.called("s0a"), qt.Equals, 1)
			next := *f.view.Holders["s0"][0]
			next.Incarnation++
			f.view.Holders["s0"][0] = &next
			f.leaves["s0a"] = f.answers("s0a", typical)
			ask(a, path)
			qt.Assert(t, f.called("s0a"), qt.Equals, 2)
		})
	}
}

// Guards against a forgotten statement that came with a refusal or with an answer that nobody waited for any more, and against
// one that is taken for that of another leaf or request.
func TestStatementOfALeafIsTakenFromAnyAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer carrier.Answer
		late   bool
		calls  int
	}{
		"refusal":         {carrier.Answer{Status: 503, NotRun: true, Leaving: true}, false, 1},
		"failure":         {carrier.Answer{Status: 500, Stamp: "s", Leaving: true}, false, 1},
		"late":            {carrier.Answer{Status: 200, Stamp: "s", Leaving: true}, true, 1},
		"another leaf":    {carrier.Answer{Status: 421, NotRun: true, AddressReassigned: true, Leaving: true}, false, 2},
		"another request": {carrier.Answer{Status: 200, ID: "other", Stamp: "s", Leaving: true}, false, 2},
	} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			f.leaves["s0a"] = func(_ context.Context, call *carrier.Call) (*carrier.Answer, error) {
				if c.late {
					time.Sleep(2 * timeout) // The answer had been read when the call was abandoned.
				}
				out := c.answer
				if out.ID == "" {
					out.ID = call.Request.ID
				}
				return &out, nil
			}
			a := f.answerer()
			ask(a, "/one/2f")
			time.Sleep(5 * timeout)
			f.keepOnly("s0", "s0a")
			ask(a, "/one/2f")
			qt.Assert(t, f.called("s0a") >= c.calls, qt.IsTrue, qt.Commentf(name))
			if c.calls == 1 {
				qt.Assert(t, f.called("s0a"), qt.Equals, 1, qt.Commentf(name))
			}
		})
	}
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
