package server

import (
	"slices"
	"time"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/entryd/holder"
	"lycheelift.example/entryd/prober"
	"lycheelift.example/lib/cataloguer"
)

// owners offers the leases of this host, and what it knows of others', to the acceptor.
type owners struct{ hold *holder.Holder }

// Owner returns the host that owns a leaf.
func (o owners) Owner(leaf *cataloguer.Leaf) (string, bool) {
	return o.hold.Resolve(leaf.Name, leaf.Center, leaf.Owner)
}

// Hint notes the owner that another host has named.
func (o owners) Hint(leaf, host string) {
	o.hold.Hint(leaf, host)
}

// leases tells the syncer which leaves to publish.
type leases struct{ hold *holder.Holder }

// Holds reports whether this host holds the lease on a leaf, and under which epoch.
func (l leases) Holds(leaf string, now time.Time) (uint64, bool) {
	lease, ok := l.hold.Held(leaf, now)
	return lease.Epoch, ok
}

// liveness tells the holder which hosts are dead. The detector judges the hosts of the own cell only; of other hosts
// the records that they publish tell, which expire without them.
type liveness struct {
	self   string
	probe  *prober.Prober
	follow *follower.Follower
}

// Dead reports whether a host of the own cell is dead or has left.
func (l liveness) Dead(host string) bool {
	cell, ok := l.follow.View().Cell(l.self)
	return ok && slices.Contains(cell.Hosts, host) && !l.probe.Live(host)
}
