package planner_test

import (
	"fmt"
	"time"

	"lycheelift.example/lib/planner"
)

// A planner receives events with the current time and returns the actions to take. Here a fake simulates two leaves.
func Example() {
	env := newFake(1, 2, 1)
	query := planner.Query{Identity: "entry-1/1/1", Received: epoch, Deadline: epoch.Add(100 * time.Millisecond)}
	p := planner.New(query, env)
	for _, call := range p.Step(planner.Event{Kind: planner.Start}, epoch) {
		if call.Kind == planner.Send {
			fmt.Println("send shard", call.Call.Shard, "of snapshot", call.Call.Snapshot)
		}
	}
	// Output:
	// send shard 0 of snapshot 1
	// send shard 1 of snapshot 1
}
