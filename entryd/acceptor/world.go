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

// world implements planner.World on the state that all queries of this host share.
type environment struct {
	acceptor *Acceptor
	request  *request
	view     *follower.View
}

// Pin returns a snapshot of the service without the leaves of data centres that are out of service.
func (w *environment) Pin(above uint64, now time.Time) (*cataloguer.Snapshot, planner.Reason) {
	a := w.acceptor
	snapshots := a.cache.Snapshots(w.request.service, w.view.Number, w.isOut, now)
	snapshot := cataloguer.Newest(snapshots, above)
	if a.table.Starting(now) && (snapshot == nil || !snapshot.Complete()) {
		return nil, callerv1.Reason_REASON_STARTING
	}
	if snapshot != nil {
		return snapshot, callerv1.Reason_REASON_UNSPECIFIED
	}
	if _, ok := w.view.Document.Services[w.request.service]; ok {
		return nil, callerv1.Reason_REASON_NO_REPLICA
	}
	return nil, callerv1.Reason_REASON_UNKNOWN_SERVICE
}

// isOut reports whether a data centre is taken out of service. A data centre that the configuration does not list needs
// no check: it has no hosts, so its leaves have no owner.
func (w *environment) isOut(center string) bool {
	return w.view.Document.OutOfService(center)
}

// Choose selects a replica and its owner. Replicas without an owner are skipped.
func (w *environment) Choose(_ uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	a := w.acceptor
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
func (w *environment) Trigger() time.Duration {
	if w.request.policy.Hedge <= 0 {
		return 0
	}
	return w.acceptor.estimate.Trigger(w.request.service)
}

// Primary adds the share of n primary calls to the hedge and retry budgets.
func (w *environment) Primary(n int) {
	w.acceptor.budget.Earn(w.request.service, n, budgeter.Rates{budgeter.Hedge: w.request.policy.Hedge, budgeter.Retry: w.request.policy.Retry})
}

// Hedge takes a hedge from the budget and reports whether the budget allowed it.
func (w *environment) Hedge(uint32) bool {
	return w.acceptor.budget.Spend(w.request.service, budgeter.Hedge)
}

// Retry takes a retry from the budget and reports whether the budget allowed it.
func (w *environment) Retry(uint32) bool {
	return w.acceptor.budget.Spend(w.request.service, budgeter.Retry)
}
