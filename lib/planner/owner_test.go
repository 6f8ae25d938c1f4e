package planner_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// movingEnvironment has one shard with three leaves. The first leaf is moving to another owner.
type movingEnvironment struct{ holders []*cataloguer.Leaf }

func (m movingEnvironment) Pin(uint64, time.Time) (*cataloguer.Snapshot, planner.Reason) {
	return &cataloguer.Snapshot{Number: 1, Shards: 1, Holders: [][]*cataloguer.Leaf{m.holders}}, 0
}

func (movingEnvironment) Choose(_ uint32, holders []*cataloguer.Leaf, tried []string, _ time.Time) (planner.Target, bool) {
	for _, l := range holders {
		if !slices.Contains(tried, l.Name) {
			return planner.Target{Leaf: l, Owner: "stopping"}, true
		}
	}
	return planner.Target{}, false
}

func (movingEnvironment) Trigger() time.Duration { return 0 }
func (movingEnvironment) Primary(int)            {}
func (movingEnvironment) Hedge(uint32) bool      { return false }
func (movingEnvironment) Retry(uint32) bool      { return true }

// Load: a rolling restart. The stopping host has released a leaf and redirects to its successor, which does not have
// the lease yet and redirects back. Guards against losing the shard because its calls bounce between the two hosts
// although its other leaves have owners.
func TestHostsThatNameEachOther(t *testing.T) {
	env := movingEnvironment{holders: []*cataloguer.Leaf{{Name: "moves"}, {Name: "second"}, {Name: "third"}}}
	p := planner.New(planner.Query{Identity: "q", Received: epoch, Deadline: epoch.Add(time.Second)}, env)
	named := map[string]string{"stopping": "successor", "successor": "stopping"}
	event, calls := planner.Event{Kind: planner.Start}, 0
	for {
		var next *planner.Call
		for _, action := range p.Step(event, epoch.Add(time.Duration(calls)*time.Millisecond)) {
			switch action.Kind {
			case planner.Send:
				next = &action.Call
			case planner.Finish:
				qt.Assert(t, action.Reply.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
				qt.Assert(t, calls <= 3, qt.IsTrue, qt.Commentf("%d calls", calls))
				return
			}
		}
		qt.Assert(t, next, qt.IsNotNil)
		calls++
		result := planner.Result{Attempt: next.Attempt, Snapshot: 1, Shard: next.Shard, Leaf: next.Target.Leaf.Name}
		if next.Target.Leaf.Name == "moves" {
			result.Reason, result.Unsent, result.Owner = callerv1.Reason_REASON_NOT_OWNER, true, named[next.Target.Owner]
		}
		event = planner.Event{Kind: planner.Returned, Result: result}
	}
}
