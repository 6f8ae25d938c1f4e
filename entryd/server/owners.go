package server

import (
	"lycheelift.example/entryd/holder"
	"lycheelift.example/lib/cataloguer"
)

// owners offers the leases of this host, and what it knows of others', to the acceptor.
type owners struct{ hold *holder.Holder }

// Owner returns the host that owns a leaf.
func (o owners) Owner(leaf *cataloguer.Leaf) (string, bool) {
	return o.hold.Owner(leaf.Name, leaf.Center)
}
