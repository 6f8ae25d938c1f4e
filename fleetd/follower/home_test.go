package follower

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load: 194 hosts start together and know three seeds in three of six data centres. Guards against hosts that stay with a
// control host of another data centre, against all turning at one moment, and against turns without end while the own
// data centre's control host is lost.
func TestHostsTurnHome(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const hosts, slot = 194, 500 * time.Millisecond
	turned := make(map[time.Duration]int)
	for i := range hosts {
		h := newHome(fmt.Sprintf("front-%d", i))
		now := start
		for !h.due(start, now) {
			now = now.Add(10 * time.Millisecond)
		}
		at := now.Sub(start)
		qt.Assert(t, at >= homeWait && at <= 2*homeWait, qt.IsTrue)
		turned[at/slot]++
		h.arrived()
		qt.Assert(t, h.due(start, start.Add(at-slot)), qt.IsFalse)
	}
	for at, n := range turned {
		qt.Assert(t, n < hosts/3, qt.IsTrue, qt.Commentf("%d hosts from %s", n, at*slot))
	}
	h, now, turns := newHome("entry"), start, 0
	for since := start; now.Sub(start) < time.Hour; now = now.Add(time.Second) {
		if h.due(since, now) {
			since, turns = now, turns+1
		}
	}
	qt.Assert(t, turns < 40, qt.IsTrue, qt.Commentf("%d turns in an hour", turns))
}
