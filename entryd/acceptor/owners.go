package acceptor

import (
	"sync"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/ranker"
)

// Rendezvous names the first host in rendezvous order as the owner of a leaf. It is safe for concurrent use.
type Rendezvous struct {
	follow *follower.Follower

	mu      sync.RWMutex
	version uint64
	known   map[place]string
}

// place is what the owner of a leaf depends on under one version.
type place struct {
	leaf, center string
}

// maxKnown bounds the owners that are remembered.
const maxKnown = 1 << 16

// NewRendezvous returns owners by the configuration in force.
func NewRendezvous(follow *follower.Follower) *Rendezvous {
	return &Rendezvous{follow: follow, known: make(map[place]string)}
}

// Owner returns the owner's host name; it fails when the leaf's data centre has no host.
func (r *Rendezvous) Owner(leaf *cataloguer.Leaf) (string, bool) {
	view := r.follow.View()
	key := place{leaf: leaf.Name, center: leaf.Center}
	r.mu.RLock()
	host, ok := r.known[key]
	current := r.version == view.Number
	r.mu.RUnlock()
	if ok && current {
		return host, true
	}
	cell, ok := ranker.Locate(leaf.Name, leaf.Center, view.Cells)
	if !ok {
		return "", false
	}
	host = ranker.Order(leaf.Name, cell.Hosts)[0]
	r.remember(key, host, view.Number)
	return host, true
}

func (r *Rendezvous) remember(key place, host string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version != version || len(r.known) >= maxKnown {
		r.version = version
		r.known = make(map[place]string)
	}
	r.known[key] = host
}

// Hint is of no use to a static order.
func (*Rendezvous) Hint(string, string) {}
