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

// world answers a planner's questions about the state that the queries of this host share.
type world struct {
	accept *Acceptor
	ask    *request
	view   *follower.View
}

// Pin returns a snapshot of the service without the leaves of data centres that are out.
func (w *world) Pin(above uint64, now time.Time) (*cataloguer.Snapshot, planner.Reason) {
	a := w.accept
	snapshots := a.cache.Snapshots(w.ask.service, w.view.Number, w.out, now)
	snapshot := cataloguer.Newest(snapshots, above)
	if a.table.Starting(now) && (snapshot == nil || !snapshot.Complete()) {
		return nil, callerv1.Reason_REASON_STARTING
	}
	if snapshot != nil {
		return snapshot, callerv1.Reason_REASON_UNSPECIFIED
	}
	if _, ok := w.view.Document.Services[w.ask.service]; ok {
		return nil, callerv1.Reason_REASON_NO_REPLICA
	}
	return nil, callerv1.Reason_REASON_UNKNOWN_SERVICE
}

// out reports whether a data centre is taken out. One that the configuration does not know has no hosts either, so
// that its leaves have no owner.
func (w *world) out(center string) bool {
	return w.view.Document.Out(center)
}

// Choose picks a replica and its owner. A replica without an owner is passed over.
func (w *world) Choose(_ uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	a := w.accept
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
func (w *world) Trigger() time.Duration {
	if w.ask.policy.Hedge <= 0 {
		return 0
	}
	return w.accept.estimate.Trigger(w.ask.service)
}

// Primary earns budget.
func (w *world) Primary(n int) {
	w.accept.budget.Earn(w.ask.service, n, budgeter.Rates{budgeter.Hedge: w.ask.policy.Hedge, budgeter.Retry: w.ask.policy.Retry})
}

// Hedge pays for a hedge.
func (w *world) Hedge(uint32) bool {
	return w.accept.budget.Spend(w.ask.service, budgeter.Hedge)
}

// Retry pays for a retry.
func (w *world) Retry(uint32) bool {
	return w.accept.budget.Spend(w.ask.service, budgeter.Retry)
}
