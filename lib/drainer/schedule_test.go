package drainer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/drainer"
)

// Guards against taking a request that may not end before the process does, and against refusing requests before callers can
// know of the stop.
func TestStopAdmitsWhatCanEnd(t *testing.T) {
	began := time.Unix(1000, 0)
	s := &drainer.Schedule{Noticed: began.Add(3 * time.Second), End: began.Add(5 * time.Second)}
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	qt.Assert(t, s.Admits(at(9), at(2.9)), qt.IsTrue)
	qt.Assert(t, s.Admits(at(5.1), at(3)), qt.IsFalse)
	qt.Assert(t, s.Admits(at(5), at(3)), qt.IsTrue)
	qt.Assert(t, s.Admits(at(5.2), at(5.1)), qt.IsFalse)
	var none *drainer.Schedule
	qt.Assert(t, none.Admits(at(100), at(6)), qt.IsTrue)
}
