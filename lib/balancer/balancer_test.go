package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/balancer"
	"lycheelift.example/lib/cataloguer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func leaves(centers ...string) []*cataloguer.Leaf {
	var out []*cataloguer.Leaf
	for i, c := range centers {
		out = append(out, &cataloguer.Leaf{Name: fmt.Sprintf("leaf-%d", i), Center: c})
	}
	return out
}

// chosenCounts counts how often each leaf is chosen in 1000 choices.
func chosenCounts(t *balancer.Table, holders []*cataloguer.Leaf, now time.Time, tried ...string) map[string]int {
	random := rand.New(rand.NewPCG(1, 1))
	out := make(map[string]int)
	for range 1000 {
		l, ok := t.Choose(balancer.Choice{Holders: holders, Tried: tried, Center: "a", Random: random.IntN}, now)
		if ok {
			out[l.Name]++
		}
	}
	return out
}

// Guards against calling a replica that is known to be slow or loaded, and against sending all calls to one replica.
func TestSlowAndLoadedReplicasAreAvoided(t *testing.T) {
	table := balancer.New()
	holders := leaves("a", "a", "a")
	for i, d := range []time.Duration{2, 2, 9} {
		table.Observe(fmt.Sprintf("leaf-%d", i), d*time.Millisecond, true, start)
	}
	got := chosenCounts(table, holders, start)
	qt.Assert(t, got["leaf-2"], qt.Equals, 0)
	qt.Assert(t, got["leaf-0"] > 300 && got["leaf-1"] > 300, qt.IsTrue, qt.Commentf("%v", got))
	for range 9 {
		table.Begin("leaf-0", start)
	}
	qt.Assert(t, chosenCounts(table, holders, start)["leaf-0"], qt.Equals, 0)
	for range 9 {
		table.End("leaf-0", start)
	}
	qt.Assert(t, chosenCounts(table, holders, start)["leaf-0"] > 300, qt.IsTrue)
}

// Guards against calling other data centres while the local replica is good, and against staying with it when it is
// slow.
func TestOwnDataCentreIsPreferredWhileGood(t *testing.T) {
	table := balancer.New()
	holders := leaves("a", "b", "c")
	table.Observe("leaf-0", 3*time.Millisecond, true, start)
	table.Observe("leaf-1", 2*time.Millisecond, true, start)
	table.Observe("leaf-2", 2*time.Millisecond, true, start)
	qt.Assert(t, chosenCounts(table, holders, start)["leaf-0"], qt.Equals, 1000)
	for range 30 {
		table.Observe("leaf-0", 6*time.Millisecond, true, start)
	}
	qt.Assert(t, chosenCounts(table, holders, start)["leaf-0"], qt.Equals, 0)
}

// Guards against preferring a leaf because it fails fast, and against never trying it again.
func TestFailingLeafIsAvoidedForAWhile(t *testing.T) {
	table := balancer.New()
	holders := leaves("a", "a")
	for _, l := range holders {
		table.Observe(l.Name, 2*time.Millisecond, true, start)
	}
	table.Observe("leaf-0", 10*time.Microsecond, false, start)
	qt.Assert(t, chosenCounts(table, holders, start)["leaf-0"], qt.Equals, 0)
	table.Observe("leaf-1", 2*time.Millisecond, true, start.Add(time.Minute))
	qt.Assert(t, chosenCounts(table, holders, start.Add(time.Minute))["leaf-0"], qt.Equals, 1000)
}

// Guards against choosing a leaf that was already tried, and against an endless loop when all were.
func TestTriedLeavesAreNotChosen(t *testing.T) {
	table := balancer.New()
	holders := leaves("a", "b", "b")
	qt.Assert(t, chosenCounts(table, holders, start, "leaf-0", "leaf-1"), qt.DeepEquals, map[string]int{"leaf-2": 1000})
	qt.Assert(t, chosenCounts(table, holders, start, "leaf-0", "leaf-1", "leaf-2"), qt.DeepEquals, map[string]int{})
}
