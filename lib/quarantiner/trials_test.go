package quarantiner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/quarantiner"
)

// Guards against two requests of a suspected fingerprint that run at the same time, against a host that is lost during a trial
// and holds back all others for good, and against a late end that ends the trial of another request.
func TestOneTrialAtATime(t *testing.T) {
	trials := quarantiner.NewTrials()
	until := now.Add(500 * time.Millisecond)
	qt.Assert(t, trials.Begin(7, "a", until, now), qt.Equals, time.Duration(0))
	qt.Assert(t, trials.Begin(7, "a", until, now), qt.Equals, time.Duration(0))
	qt.Assert(t, trials.Begin(7, "b", until, now), qt.Equals, 500*time.Millisecond)
	qt.Assert(t, trials.Begin(8, "b", until, now), qt.Equals, time.Duration(0))
	trials.End(7, "a")
	qt.Assert(t, trials.Begin(7, "c", until, now), qt.Equals, time.Duration(0))
	trials.End(7, "a")
	qt.Assert(t, trials.Begin(7, "d", until, now) > 0, qt.IsTrue)
	qt.Assert(t, trials.Begin(7, "d", until, until), qt.Equals, time.Duration(0))
}

// Guards against requests that are held back without a loss, after an answer or by a block that refuses them anyway.
func TestSuspected(t *testing.T) {
	l := quarantiner.NewLedger()
	qt.Assert(t, l.Suspected(7, now), qt.IsFalse)
	note(l, 7, "a", 0)
	qt.Assert(t, l.Suspected(7, now), qt.IsTrue)
	qt.Assert(t, l.Suspected(8, now), qt.IsFalse)
	_, changed := l.RecordAnswer(7, now)
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, l.Suspected(7, now), qt.IsFalse)
	note(l, 7, "b", 1)
	qt.Assert(t, l.Suspected(7, now), qt.IsTrue)
	qt.Assert(t, l.Suspected(7, now.Add(quarantiner.BlockTime+2*time.Second)), qt.IsFalse)
}
