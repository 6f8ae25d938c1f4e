package ignorer_test

import (
	"os/signal"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	_ "lycheelift.example/fleetd/ignorer"
)

// ignored is initialized before any function of this package runs.
var ignored = signal.Ignored(syscall.SIGHUP)

// Guards against a process that is terminated by a reload signal during its start (found in a soak test with seed
// 116).
func TestHangUpIsIgnoredBeforeTheProgramRuns(t *testing.T) {
	qt.Assert(t, ignored, qt.IsTrue)
}
