package acceptor

import (
	"sync"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/ranker"
)

// Rendezvous selects the first host in rendezvous order as the owner of a leaf. It is safe for concurrent use.
type Rendezvous struct {
	follow *follower.Follower

	mu      sync.RWMutex
	version uint64
	cached  map[ownerKey]string
}

// ownerKey is what the owner of a leaf depends on within one configuration version.
type ownerKey struct {
	leaf, center string
}

// maxCached bounds the number of cached owners.
const maxCached = 1 << 16

// NewRendezvous returns a Rendezvous that uses the current configuration of follow.
func NewRendezvous(follow *follower.Follower) *Rendezvous {
	return &Rendezvous{follow: follow, cached: make(map[ownerKey]string)}
}

// Owner returns the host name of the leaf's owner, or false if the leaf's data centre has no host.
func (r *Rendezvous) Owner(leaf *cataloguer.Leaf) (string, bool) {
	view := r.follow.View()
	key := ownerKey{leaf: leaf.Name, center: leaf.Center}
	r.mu.RLock()
	host, ok := r.cached[key]
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
	r.store(key, host, view.Number)
	return host, true
}

func (r *Rendezvous) store(key ownerKey, host string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version != version || len(r.cached) >= maxCached {
		r.version = version
		r.cached = make(map[ownerKey]string)
	}
	r.cached[key] = host
}

// Hint does nothing, because the order is static.
func (*Rendezvous) Hint(string, string) {}
