package syncer

import (
	"time"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/ranker"
)

// First holds the leaves of which this host is the first live one in rendezvous order. It stands in until leases do.
type First struct {
	self   string
	center string
	follow *follower.Follower
	live   func(string) bool
}

// NewFirst returns a holder without leases.
func NewFirst(self, center string, follow *follower.Follower, live func(string) bool) *First {
	return &First{self: self, center: center, follow: follow, live: live}
}

// Holds reports whether this host is the first live one for a leaf of its data centre.
func (f *First) Holds(leaf string, _ time.Time) (uint64, bool) {
	cell, ok := ranker.Locate(leaf, f.center, f.follow.View().Cells)
	if !ok {
		return 0, false
	}
	for _, host := range ranker.Order(leaf, cell.Hosts) {
		if f.live(host) {
			return 0, host == f.self
		}
	}
	return 0, false
}
