// Package follower keeps what an entry host knows from the control hosts: the configuration in force, the leaves, and
// which data centres are evacuated.
package follower

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// View is what an entry host knows at one moment. It never changes.
type View struct {
	// Table is nil before the first configuration.
	Table *router.Table
	// Holders lists the leaves of each service that may be called.
	Holders map[string][]*cataloguer.Leaf
	// Evacuated holds the data centres whose leaves may not be called.
	Evacuated map[string]bool
	// Entries is the number of entry hosts, at least 1.
	Entries int
	// Helpers are the addresses of the entry hosts of each data centre, this host among them. They never change.
	Helpers map[string][]string
	// Index is the newest record of the replicated log that is included.
	Index uint64
	// Alone is since when the control host that is followed hears none of the others; zero when it hears one.
	Alone time.Time
	// Settled is when this host last heard from a control host in contact with a leader.
	Settled time.Time
}

// IsAlone reports whether the control host that is followed has heard none of the others for a time. Right after it was
// frozen itself it has heard none either.
func (v *View) IsAlone(least time.Duration, now time.Time) bool {
	return !v.Alone.IsZero() && now.Sub(v.Alone) >= least
}

// lonely notes whether a control host hears any of the others, in a view that is being made.
func (v *View) lonely(alone bool, now time.Time) {
	switch {
	case !alone:
		v.Alone = time.Time{}
	case v.Alone.IsZero():
		v.Alone = now
	}
}

// Hosts lists the addresses of the entry hosts of all data centres.
func (v *View) Hosts() []string {
	var out []string
	for _, hosts := range v.Helpers {
		out = append(out, hosts...)
	}
	return out
}

// Helping reports whether any other entry host is known.
func (v *View) Helping() bool {
	count := 0
	for _, hosts := range v.Helpers {
		count += len(hosts)
	}
	return count > 1
}

// Version returns the version of the configuration in force, 0 before the first.
func (v *View) Version() uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// Age returns the time for which the view may have been out of date.
func (v *View) Age(now time.Time) time.Duration {
	return now.Sub(v.Settled)
}

// holders groups the leaves that may be called by service.
func holders(leaves []*enroller.Leaf, evacuated map[string]bool) map[string][]*cataloguer.Leaf {
	out := make(map[string][]*cataloguer.Leaf)
	for _, l := range leaves {
		if l.Leaving || evacuated[l.Center] {
			continue
		}
		out[l.Service] = append(out[l.Service], &cataloguer.Leaf{
			Name: l.Name, Incarnation: l.Born, Sequence: l.Sequence, Address: l.Address, Center: l.Center, Service: l.Service,
			State: cataloguer.Warm, Slots: l.Slots, ColdUntil: l.ColdUntil,
		})
	}
	return out
}

// helpers lists entry hosts by data centre.
func helpers(hosts []*peerv1.EntryHost) map[string][]string {
	out := make(map[string][]string)
	for _, h := range hosts {
		out[h.GetCenter()] = append(out[h.GetCenter()], h.GetAddress())
	}
	return out
}
