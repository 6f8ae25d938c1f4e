package carrier_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/carrier"
)

// Guards against sending a call after its request was refused as not run.
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

// Guards against sending more than one of several mutually exclusive calls.
func TestOneCallOfATurnIsSent(t *testing.T) {
	for range 1000 {
		var permit carrier.SendPermit
		var gates [3]carrier.Gate
		var passed [3]bool
		var all sync.WaitGroup
		for i := range gates {
			gates[i].Join(&permit)
			all.Go(func() { passed[i] = gates[i].Pass() })
		}
		all.Wait()
		sent := 0
		for i := range gates {
			qt.Assert(t, gates[i].Close(), qt.Equals, !passed[i])
			if passed[i] {
				sent++
			}
		}
		qt.Assert(t, sent, qt.Equals, 1)
	}
}
