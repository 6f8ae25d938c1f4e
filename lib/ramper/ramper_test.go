package ramper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/ramper"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serve finishes n good calls, a millisecond apart, at the current allowance.
func serve(r *ramper.Ramper, n int, latency time.Duration, now time.Time) time.Time {
	for range n {
		now = now.Add(time.Millisecond)
		r.Finish(ramper.Good, latency, r.Allowance(), now)
	}
	return now
}

// Guards against a leaf that is new to its owner and gets more than one call before it has returned enough good replies, and
// against one whose allowance never reaches its slots.
func TestNewLeafIsRaisedByEvidence(t *testing.T) {
	c := qt.New(t)
	r := ramper.New(3, start)
	now := serve(r, 15, time.Millisecond, start)
	c.Assert(r.Allowance(), qt.Equals, 1)
	now = serve(r, 1, time.Millisecond, now)
	c.Assert(r.Allowance(), qt.Equals, 2)
	serve(r, 16, time.Millisecond, now)
	c.Assert(r.Allowance(), qt.Equals, 3)
}

// Guards against more than one call at a time while a leaf announces that it is cold, and against a leaf that is limited to
// one call forever because its announcement stays wrong.
func TestAnnouncedColdStaysAtOne(t *testing.T) {
	c := qt.New(t)
	r := ramper.New(2, start)
	r.Announce(true, start)
	now := serve(r, 5000, time.Millisecond, start)
	c.Assert(r.Allowance(), qt.Equals, 1)
	r.Announce(false, now)
	now = serve(r, 16, time.Millisecond, now)
	c.Assert(r.Allowance(), qt.Equals, 2)
	r.Announce(true, now)
	now = now.Add(30 * time.Second)
	serve(r, 16, time.Millisecond, now)
	c.Assert(r.Allowance(), qt.Equals, 2)
}

// Guards against a leaf that has become cold without an announcement and keeps its full allowance. One shed with two calls
// running, three consecutive errors, or a latency above 4 times the warm latency cut the allowance, and it grows only once
// the leaf is fast again.
func TestSeenAsColdIsCut(t *testing.T) {
	for name, degrade := range map[string]func(*ramper.Ramper, time.Time) time.Time{
		"shed": func(r *ramper.Ramper, now time.Time) time.Time {
			r.Finish(ramper.Shed, 0, 2, now)
			return now
		},
		"errors": func(r *ramper.Ramper, now time.Time) time.Time {
			for range 3 {
				r.Finish(ramper.Failed, 0, 2, now)
			}
			return now
		},
		"latency": func(r *ramper.Ramper, now time.Time) time.Time { return serve(r, 8, 5*time.Millisecond, now) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := ramper.New(2, start)
			now := serve(r, 64, time.Millisecond, start)
			c.Assert(r.Allowance(), qt.Equals, 2)
			now = degrade(r, now)
			c.Assert(r.Allowance(), qt.Equals, 1)
			serve(r, 500, time.Millisecond, now)
			c.Assert(r.Allowance(), qt.Equals, 1, qt.Commentf("the allowance grew within the growth delay"))
			now = serve(r, 2000, 5*time.Millisecond, now)
			c.Assert(r.Allowance(), qt.Equals, 1, qt.Commentf("the allowance grew while the leaf was still slow"))
			serve(r, 64, time.Millisecond, now)
			c.Assert(r.Allowance(), qt.Equals, 2)
		})
	}
}
