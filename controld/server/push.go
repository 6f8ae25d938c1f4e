package server

import (
	"context"

	"lycheelift.example/controld/pusher"
	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// source offers the store to the pusher.
type source struct {
	*store.Store

	replica *replica.Replica
}

// Current returns the newest version that this host knows.
func (s source) Current() *statev1.Version {
	return s.Fetch(0, nil)
}

// Leading reports whether this host leads the group.
func (s source) Leading() bool {
	return s.replica.Status().Leading
}

// pushing is the store of a host that pushes what it accepts.
type pushing struct {
	*store.Store

	push *pusher.Pusher
}

// Patch decides a patch and wakes the pusher.
func (p pushing) Patch(ctx context.Context, patch *statev1.Patch) (*statev1.PatchResult, error) {
	defer p.push.Wake()
	return p.Store.Patch(ctx, patch)
}

// Fetch answers a pull and tells the pusher what is in force already.
func (p pushing) Fetch(version uint64, hosts []*statev1.InForce) *statev1.Version {
	p.push.Report(hosts)
	return p.Store.Fetch(version, hosts)
}
