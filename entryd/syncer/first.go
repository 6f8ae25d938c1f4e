package syncer

import (
	"time"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/ranker"
)

// First holds the leaves of which this host is the first live one in rendezvous order. It stands in until leases do.
// A host that has just come to life takes a leaf over by publishing it, so that none is without an owner meanwhile.
type First struct {
	self    string
	center  string
	follow  *follower.Follower
	owner   func(leaf string) (string, bool)
	live    func(host string) bool
	settled func(host string) bool
}

// NewFirst returns a holder without leases. owner returns the published owner of a leaf; settled says which hosts
// have been live for long enough to publish what they hold.
func NewFirst(self, center string, follow *follower.Follower, owner func(string) (string, bool), live, settled func(string) bool) *First {
	return &First{self: self, center: center, follow: follow, owner: owner, live: live, settled: settled}
}

// Holds reports whether this host looks after a leaf of its data centre.
func (f *First) Holds(leaf string, _ time.Time) (uint64, bool) {
	cell, ok := ranker.Locate(leaf, f.center, f.follow.View().Cells)
	if !ok || !f.live(f.self) {
		return 0, false
	}
	owner, _ := f.owner(leaf)
	for _, host := range ranker.Order(leaf, cell.Hosts) {
		if host == f.self {
			return 0, true
		}
		if f.live(host) && (host == owner || f.settled(host)) {
			return 0, false
		}
	}
	return 0, false
}
