package keeper

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// All hosts lose power and come back. Guards against entry hosts that hear of the leader late, and against streams that are woken
// again and again while nothing has changed.
func TestStreamsAreWokenWhenALeaderIsHeard(t *testing.T) {
	var l leaderSignal
	woken := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	first := l.heard()
	l.update(false)
	qt.Assert(t, woken(first), qt.IsFalse)
	l.update(true)
	qt.Assert(t, woken(first), qt.IsTrue)
	second := l.heard()
	l.update(true)
	qt.Assert(t, woken(second), qt.IsFalse)
	l.update(false)
	l.update(true)
	qt.Assert(t, woken(second), qt.IsTrue)
}
