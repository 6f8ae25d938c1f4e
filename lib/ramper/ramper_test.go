package ramper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/ramper"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serve ends n good calls, a millisecond apart, at the allowance of the moment.
func serve(r *ramper.Ramper, n int, latency time.Duration, now time.Time) time.Time {
	for range n {
		now = now.Add(time.Millisecond)
		r.Finish(ramper.Good, latency, r.Allowance(), now)
	}
	return now
}

// Guards against a leaf that is new to its owner and gets more than one call before it has answered well, and against
// one that never gets its slots.
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

// Guards against load above one call while a leaf says that it is cold, and against a leaf that is held at one call
// for ever because its announcement stays wrong.
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

// Guards against a leaf that has become cold without a word and keeps its full load: one shed at two calls, three
// errors in a row, or a latency above 4 times its warm level cut it, and it grows only once it is fast again.
func TestSeenAsColdIsCut(t *testing.T) {
	for name, chill := range map[string]func(*ramper.Ramper, time.Time) time.Time{
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
			now = chill(r, now)
			c.Assert(r.Allowance(), qt.Equals, 1)
			serve(r, 500, time.Millisecond, now)
			c.Assert(r.Allowance(), qt.Equals, 1, qt.Commentf("it grew within the hold time"))
			now = serve(r, 2000, 5*time.Millisecond, now)
			c.Assert(r.Allowance(), qt.Equals, 1, qt.Commentf("it grew while still slow"))
			serve(r, 64, time.Millisecond, now)
			c.Assert(r.Allowance(), qt.Equals, 2)
		})
	}
}
