package budgeter_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/budgeter"
)

var rates = budgeter.Rates{budgeter.Hedge: 0.05, budgeter.Retry: 0.1}

// Guards against extra load during a broad slowdown: when every call requests a hedge and a retry from many goroutines,
// the extra calls are exactly 5% and 10%.
func TestBroadSlowdownStaysInTheBudget(t *testing.T) {
	b := budgeter.New()
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 5000 {
				b.Earn("desk", 3, rates)
				for range 3 {
					b.Spend("desk", budgeter.Hedge)
					b.Spend("desk", budgeter.Retry)
				}
			}
		})
	}
	wait.Wait()
	c := b.Counts("desk")
	qt.Assert(t, c.Primary, qt.Equals, uint64(120000))
	qt.Assert(t, c.Spent, qt.Equals, [2]uint64{6000, 12000})
}

// Guards against extra calls before any budget is earned, unlimited accumulation, a rate of 0 that leaves budget, and
// one service using the budget of another.
func TestSavingIsBounded(t *testing.T) {
	b := budgeter.New()
	qt.Assert(t, b.Spend("desk", budgeter.Hedge), qt.IsFalse)
	b.Earn("desk", 1_000_000, rates)
	spent := 0
	for b.Spend("desk", budgeter.Hedge) {
		spent++
	}
	qt.Assert(t, spent, qt.Equals, 50)
	b.Earn("desk", 1000, rates)
	b.Earn("desk", 1, budgeter.Rates{})
	qt.Assert(t, b.Spend("desk", budgeter.Hedge), qt.IsFalse)
	b.Earn("portal", 100, rates)
	qt.Assert(t, b.Spend("desk", budgeter.Retry), qt.IsFalse)
	qt.Assert(t, b.Spend("portal", budgeter.Retry), qt.IsTrue)
}
