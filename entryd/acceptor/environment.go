package acceptor

import (
	"math/rand/v2"
	"time"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/balancer"
	"lycheelift.example/lib/budgeter"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// environment implements planner.Environment on the state that all queries of this host share.
type environment struct {
	acceptor *Acceptor
	request  *request
	view     *follower.View
}

// Pin returns a snapshot of the service without the leaves of data centres that are out of service.
func (e *environment) Pin(above uint64, now time.Time) (*cataloguer.Snapshot, planner.Reason) {
	a := e.acceptor
	snapshots := a.cache.Snapshots(e.request.service, e.view.Number, e.isOutOfService, now)
	snapshot := cataloguer.Newest(snapshots, above)
	if a.table.Starting(now) && (snapshot == nil || !snapshot.Complete()) {
		return nil, callerv1.Reason_REASON_STARTING
	}
	if snapshot != nil {
		return snapshot, callerv1.Reason_REASON_UNSPECIFIED
	}
	if _, ok := e.view.Document.Services[e.request.service]; ok {
		return nil, callerv1.Reason_REASON_NO_REPLICA
	}
	return nil, callerv1.Reason_REASON_UNKNOWN_SERVICE
}

// isOutOfService reports whether a data centre is out of service. A data centre that the configuration does not list needs
// no check: it has no hosts, so its leaves have no owner.
func (e *environment) isOutOfService(center string) bool {
	return e.view.Document.OutOfService(center)
}

// Choose selects a replica and its owner. Replicas without an owner are skipped.
func (e *environment) Choose(_ uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	a := e.acceptor
	for {
		leaf, ok := a.balance.Choose(balancer.Choice{Holders: holders, Tried: tried, Center: a.center, Random: rand.IntN}, now)
		if !ok {
			return planner.Target{}, false
		}
		if owner, ok := a.owners.Owner(leaf); ok {
			return planner.Target{Leaf: leaf, Owner: owner}, true
		}
		tried = append(tried, leaf.Name)
	}
}

// Trigger returns the age at which a call is hedged.
func (e *environment) Trigger() time.Duration {
	if e.request.policy.Hedge <= 0 {
		return 0
	}
	return e.acceptor.estimate.Trigger(e.request.service)
}

// Primary adds the share of n primary calls to the hedge and retry budgets.
func (e *environment) Primary(n int) {
	e.acceptor.budget.Earn(e.request.service, n, budgeter.Rates{budgeter.Hedge: e.request.policy.Hedge, budgeter.Retry: e.request.policy.Retry})
}

// Hedge takes a hedge from the budget and reports whether the budget allowed it.
func (e *environment) Hedge(uint32) bool {
	return e.acceptor.budget.Spend(e.request.service, budgeter.Hedge)
}

// Retry takes a retry from the budget and reports whether the budget allowed it.
func (e *environment) Retry(uint32) bool {
	return e.acceptor.budget.Spend(e.request.service, budgeter.Retry)
}
