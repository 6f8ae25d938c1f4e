package acceptor

import (
	"time"

	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// callEnded records the end of a call. A call that never reached its leaf is no sample of the leaf's latency.
func (a *Acceptor) callEnded(service string, c *planner.Call, reason planner.Reason, unsent bool, now time.Time) {
	leaf := c.Target.Leaf.Name
	took := now.Sub(c.Sent)
	a.balance.End(leaf, now)
	answered := reason == callerv1.Reason_REASON_UNSPECIFIED
	if answered {
		a.estimate.Observe(service, took)
	}
	if answered || !unsent {
		a.balance.Observe(leaf, took, answered, now)
	}
}

// callAbandoned records a call whose reply is no longer awaited. If its age is above the hedge trigger, the age counts as
// its latency: otherwise the slowest calls, which lose to their hedges, would be missing from the percentile.
func (a *Acceptor) callAbandoned(service string, c *planner.Call, now time.Time) {
	leaf := c.Target.Leaf.Name
	took := now.Sub(c.Sent)
	a.balance.End(leaf, now)
	if trigger := a.estimate.Trigger(service); trigger == 0 || took < trigger {
		return
	}
	a.estimate.Observe(service, took)
	a.balance.Observe(leaf, took, true, now)
}
