// Package follower maintains the state that an entry host receives from the control hosts: the active configuration, the
// leaves, and the evacuated data centres.
package follower

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// View is an immutable snapshot of the state received from the control hosts.
type View struct {
	// Table is nil before the first configuration.
	Table *router.Table
	// Holders lists the leaves of each service that may be called.
	Holders map[string][]*cataloguer.Leaf
	// Evacuated holds the data centres whose leaves may not be called.
	Evacuated map[string]bool
	// Entries is the number of entry hosts, at least 1.
	Entries int
	// Helpers holds the addresses of the entry hosts of each data centre, including this host. The slices are immutable.
	Helpers map[string][]string
	// Index is the highest index of the replicated log that the view includes.
	Index uint64
	// IsolatedSince is the time since which the followed control host has been isolated from all others; zero if it is not.
	IsolatedSince time.Time
	// LastLeaderContact is when this host last received a message from a control host in contact with a leader.
	LastLeaderContact time.Time
}

// IsIsolated reports whether the followed control host has been isolated from all others for at least the given time. The
// minimum is needed because a control host also reports isolation right after it was frozen itself.
func (v *View) IsIsolated(minDuration time.Duration, now time.Time) bool {
	return !v.IsolatedSince.IsZero() && now.Sub(v.IsolatedSince) >= minDuration
}

// setIsolated records whether the control host is isolated. Call it only on a view that is not published yet.
func (v *View) setIsolated(isolated bool, now time.Time) {
	switch {
	case !isolated:
		v.IsolatedSince = time.Time{}
	case v.IsolatedSince.IsZero():
		v.IsolatedSince = now
	}
}

// EntryHosts returns the addresses of the entry hosts of all data centres.
func (v *View) EntryHosts() []string {
	var out []string
	for _, hosts := range v.Helpers {
		out = append(out, hosts...)
	}
	return out
}

// HasHelpers reports whether any other entry host is known, to which portions of a query can be sent.
func (v *View) HasHelpers() bool {
	count := 0
	for _, hosts := range v.Helpers {
		count += len(hosts)
	}
	return count > 1
}

// Version returns the version of the active configuration, 0 before the first.
func (v *View) Version() uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// Age returns how long the view may have been out of date.
func (v *View) Age(now time.Time) time.Duration {
	return now.Sub(v.LastLeaderContact)
}

// holders groups the callable leaves by service.
func holders(leaves []*enroller.Leaf, evacuated map[string]bool) map[string][]*cataloguer.Leaf {
	out := make(map[string][]*cataloguer.Leaf)
	for _, l := range leaves {
		if l.Leaving || evacuated[l.Center] {
			continue
		}
		out[l.Service] = append(out[l.Service], &cataloguer.Leaf{
			Name: l.Name, Incarnation: l.Born, Sequence: l.Sequence, Address: l.Address, Center: l.Center, Service: l.Service,
			State: cataloguer.Warm, Slots: l.Slots, ColdUntil: l.ColdUntil, Program: l.Program,
		})
	}
	return out
}

// helpers groups the addresses of entry hosts by data centre.
func helpers(hosts []*peerv1.EntryHost) map[string][]string {
	out := make(map[string][]string)
	for _, h := range hosts {
		out[h.GetCenter()] = append(out[h.GetCenter()], h.GetAddress())
	}
	return out
}
