package timekeeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that stands still, and against a fallback that follows a wall clock that is set back or misses the
// time of a suspension. A time without a monotonic reading stands for the wall clock.
func TestClocksNeverGoBack(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &combined{now: func() time.Time { return now }}
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Duration(0))
	now = now.Add(time.Hour)
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Hour)
	now = now.Add(-30 * time.Minute)
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Hour)
	first := SinceBoot()
	time.Sleep(time.Millisecond)
	qt.Assert(t, SinceBoot()-first >= time.Millisecond, qt.IsTrue)
}
