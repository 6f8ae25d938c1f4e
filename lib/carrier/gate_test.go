package carrier_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/carrier"
)

// Guards against a call that is sent after its request was refused as not run.
func TestCallIsSentOrGivenUp(t *testing.T) {
	for range 1000 {
		var g carrier.Gate
		var both sync.WaitGroup
		var passed, closed bool
		both.Go(func() { passed = g.Pass() })
		both.Go(func() { closed = g.Close() })
		both.Wait()
		qt.Assert(t, passed, qt.Not(qt.Equals), closed)
		qt.Assert(t, g.Close(), qt.Equals, closed)
		qt.Assert(t, g.Pass(), qt.IsFalse)
	}
}
