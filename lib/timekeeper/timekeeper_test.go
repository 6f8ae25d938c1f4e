package timekeeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that stands still, runs backwards or counts in another unit.
func TestSinceBootAdvances(t *testing.T) {
	first, began := SinceBoot(), time.Now()
	for SinceBoot() == first {
	}
	time.Sleep(2 * time.Millisecond)
	measured := SinceBoot() - first
	qt.Assert(t, measured >= 2*time.Millisecond, qt.IsTrue)
	qt.Assert(t, measured < time.Hour+time.Since(began), qt.IsTrue)
}

// Guards against a fallback that follows a wall clock that is set back, or misses the time of a suspension. A time without
// a monotonic reading stands for the wall clock.
func TestFallbackCountsTheLargerAdvance(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &combined{now: func() time.Time { return now }}
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Duration(0))
	now = now.Add(time.Hour)
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Hour)
	now = now.Add(-30 * time.Minute)
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Hour)
	now = now.Add(time.Second)
	qt.Assert(t, c.sinceStart(), qt.Equals, time.Hour+time.Second)
}
