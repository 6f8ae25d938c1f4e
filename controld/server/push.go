package server

import (
	"context"

	"lycheelift.example/controld/pusher"
	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// source adapts the store and the replica to pusher.Source.
type source struct {
	*store.Store

	replica *replica.Replica
}

// Current returns the newest version in the local state.
func (s source) Current() *statev1.Version {
	return s.Fetch(0, nil)
}

// Leading reports whether this host is the leader.
func (s source) Leading() bool {
	return s.replica.Status().Leading
}

// pushingStore is a store that notifies the pusher of accepted patches and of reports.
type pushingStore struct {
	*store.Store

	push *pusher.Pusher
}

// Patch applies a patch and wakes the pusher.
func (p pushingStore) Patch(ctx context.Context, patch *statev1.Patch) (*statev1.PatchResult, error) {
	defer p.push.Wake()
	return p.Store.Patch(ctx, patch)
}

// Fetch returns the newest version and passes the reports to the pusher.
func (p pushingStore) Fetch(version uint64, hosts []*statev1.InForce) *statev1.Version {
	p.push.Report(hosts)
	return p.Store.Fetch(version, hosts)
}
