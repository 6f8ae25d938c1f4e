package follower

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// 194 hosts start together and know three seeds in three of six data centres. Guards against hosts that stay with a control
// host of another data centre, against all hosts switching at once, and against frequent attempts while the control host
// of the own data centre is down.
func TestHostsTurnHome(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const hosts, slot = 194, 500 * time.Millisecond
	switched := make(map[time.Duration]int)
	for i := range hosts {
		h := newHomeBackoff(fmt.Sprintf("front-%d", i))
		now := start
		for !h.due(start, now) {
			now = now.Add(10 * time.Millisecond)
		}
		at := now.Sub(start)
		qt.Assert(t, at >= minHomeWait && at <= 2*minHomeWait, qt.IsTrue)
		switched[at/slot]++
		h.reset()
		qt.Assert(t, h.due(start, start.Add(at-slot)), qt.IsFalse)
	}
	for at, n := range switched {
		qt.Assert(t, n < hosts/3, qt.IsTrue, qt.Commentf("%d hosts from %s", n, at*slot))
	}
	h, now, attempts := newHomeBackoff("entry"), start, 0
	for since := start; now.Sub(start) < time.Hour; now = now.Add(time.Second) {
		if h.due(since, now) {
			since, attempts = now, attempts+1
		}
	}
	qt.Assert(t, attempts < 40, qt.IsTrue, qt.Commentf("%d attempts in an hour", attempts))
}
