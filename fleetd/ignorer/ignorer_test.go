package ignorer_test

import (
	"os/signal"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	_ "lycheelift.example/fleetd/ignorer"
)

// ignored is evaluated before any function of this package runs.
var ignored = signal.Ignored(syscall.SIGHUP)

// Guards against a process that ends when it is told of changed settings while it starts (soak, seed 116).
func TestHangUpIsIgnoredBeforeTheProgramRuns(t *testing.T) {
	qt.Assert(t, ignored, qt.IsTrue)
}
