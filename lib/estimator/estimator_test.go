package estimator_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/estimator"
)

// Guards against a trigger that is off by more than a bucket, so that hedges add more than 3% of calls.
func TestTriggerIsTheNinetySeventhPercentile(t *testing.T) {
	e := estimator.New()
	random := rand.New(rand.NewPCG(1, 1))
	var all []time.Duration
	for range 8000 {
		d := time.Duration(random.ExpFloat64() * float64(3*time.Millisecond))
		all = append(all, d)
		e.Observe("desk", d)
	}
	slices.Sort(all)
	exact := all[len(all)*97/100]
	got := e.Trigger("desk")
	qt.Assert(t, got >= exact && got <= exact+exact/10, qt.IsTrue, qt.Commentf("got %s, exact %s", got, exact))
}

// Guards against a trigger that does not follow when the service becomes slower or faster.
func TestTriggerFollowsDrift(t *testing.T) {
	e := estimator.New()
	for range 20000 {
		e.Observe("desk", 2*time.Millisecond)
	}
	for range 12000 {
		e.Observe("desk", 40*time.Millisecond)
	}
	qt.Assert(t, e.Trigger("desk") >= 40*time.Millisecond, qt.IsTrue)
	for range 80000 {
		e.Observe("desk", 2*time.Millisecond)
	}
	qt.Assert(t, e.Trigger("desk") < 3*time.Millisecond, qt.IsTrue)
}

// Guards against hedging on too few measurements, and against services that share an estimate.
func TestFewCallsGiveNoTrigger(t *testing.T) {
	e := estimator.New()
	for range 99 {
		e.Observe("desk", time.Millisecond)
	}
	qt.Assert(t, e.Trigger("desk"), qt.Equals, time.Duration(0))
	e.Observe("desk", time.Millisecond)
	qt.Assert(t, e.Trigger("desk") > time.Millisecond, qt.IsTrue)
	qt.Assert(t, e.Trigger("portal"), qt.Equals, time.Duration(0))
}

// Guards against mishandling latencies outside the range of the buckets.
func TestExtremesAreCounted(t *testing.T) {
	e := estimator.New()
	for range 100 {
		e.Observe("desk", -time.Second)
	}
	qt.Assert(t, e.Trigger("desk"), qt.Equals, 2*time.Microsecond)
	for range 10000 {
		e.Observe("desk", 1000*time.Hour)
	}
	qt.Assert(t, e.Trigger("desk") > time.Hour, qt.IsTrue)
}
