package server

import (
	"slices"
	"time"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/entryd/holder"
	"lycheelift.example/entryd/prober"
	"lycheelift.example/lib/cataloguer"
)

// ownerResolver gives the acceptor the owners of leaves, from the leases of this host and what it knows of other hosts'
// leases.
type ownerResolver struct{ holder *holder.Holder }

// Owner returns the host that owns a leaf, if it is known.
func (o ownerResolver) Owner(leaf *cataloguer.Leaf) (string, bool) {
	return o.holder.Resolve(leaf.Name, leaf.Center, leaf.Owner)
}

// Hint records the owner of a leaf as named by another host.
func (o ownerResolver) Hint(leaf, host string) {
	o.holder.Hint(leaf, host)
}

// heldLeases gives the syncer the leases that this host publishes.
type heldLeases struct{ holder *holder.Holder }

// Holds reports whether this host holds the lease on a leaf, and under which epoch.
func (l heldLeases) Holds(leaf string, now time.Time) (uint64, bool) {
	lease, ok := l.holder.Held(leaf, now)
	return lease.Epoch, ok
}

// liveness gives the holder the state of hosts. The failure detector covers only the hosts of this host's own cell;
// for other hosts the records that they publish are enough, because these expire when they are not renewed.
type liveness struct {
	self     string
	prober   *prober.Prober
	follower *follower.Follower
}

// Dead reports whether a host of this host's cell has failed or left.
func (l liveness) Dead(host string) bool {
	cell, ok := l.follower.View().Cell(l.self)
	return ok && slices.Contains(cell.Hosts, host) && !l.prober.Live(host)
}
