// Package follower maintains the state that an entry host receives from the control hosts: the active configuration, the
// leaves, and the evacuated data centres.
package follower

import (
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// View is an immutable snapshot of the state received from the control hosts.
type View struct {
	// Table is nil before the first configuration.
	Table *router.Table
	// Holders lists the leaves of each service that may be called. During a rollout they are those of the version in use.
	Holders map[string][]*cataloguer.Leaf
	// Trials lists the callable leaves of the ordered version of each service with a running rollout.
	Trials map[string][]*cataloguer.Leaf
	// Rollouts holds the newest order and the version in use of each service that has any. The map is immutable.
	Rollouts map[string]*statev1.Rollout
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

// Candidates returns the leaves of a service that may be called at a given time. A running rollout moves the requests for
// which drawn, a uniformly distributed number from 0 to 1, is below its share; 1 stands for calls that only the full share
// moves. A host without contact to the control hosts sends nothing to a version whose rollout is running.
func (v *View) Candidates(service string, drawn float64, now time.Time) []*cataloguer.Leaf {
	trial := v.Trials[service]
	if len(trial) == 0 || !v.Fresh(now) {
		return v.Holders[service]
	}
	share := v.Rollouts[service].GetShare()
	if share >= roller.FullShare || drawn*roller.FullShare < float64(share) {
		return trial
	}
	return v.Holders[service]
}

// Fresh reports whether the shares of running rollouts may be used.
func (v *View) Fresh(now time.Time) bool {
	return v.Age(now) < roller.FreshTimeout
}

// Callable reports whether a leaf of a service may still be called.
func (v *View) Callable(service string, leaf *cataloguer.Leaf, now time.Time) bool {
	same := func(l *cataloguer.Leaf) bool { return l.Name == leaf.Name && l.Incarnation == leaf.Incarnation }
	if slices.ContainsFunc(v.Candidates(service, 1, now), same) {
		return true
	}
	trial := v.Trials[service]
	return len(trial) > 0 && v.Rollouts[service].GetShare() > 0 && v.Fresh(now) && slices.ContainsFunc(trial, same)
}

// holders groups the callable leaves by service: those of the versions in use, and those that running rollouts try. Leaves of
// other versions are callable only where a service has none of the version in use.
func holders(leaves []*enroller.Leaf, evacuated map[string]bool, rollouts map[string]*statev1.Rollout) (stable, trial map[string][]*cataloguer.Leaf) {
	stable, trial = make(map[string][]*cataloguer.Leaf), make(map[string][]*cataloguer.Leaf)
	others := make(map[string][]*cataloguer.Leaf)
	for _, l := range leaves {
		if l.Leaving || evacuated[l.Center] {
			continue
		}
		leaf := &cataloguer.Leaf{
			Name: l.Name, Incarnation: l.Born, Sequence: l.Sequence, Address: l.Address, Center: l.Center, Service: l.Service,
			Program: l.Program, State: cataloguer.Warm, Slots: l.Slots, ColdUntil: l.ColdUntil,
		}
		switch roller.RoleOf(rollouts[l.Service], l.Program) {
		case roller.Stable:
			stable[l.Service] = append(stable[l.Service], leaf)
		case roller.Trial:
			trial[l.Service] = append(trial[l.Service], leaf)
			others[l.Service] = append(others[l.Service], leaf)
		case roller.Idle:
			others[l.Service] = append(others[l.Service], leaf)
		}
	}
	for service, list := range others {
		if len(stable[service]) == 0 {
			stable[service] = list
		}
	}
	return stable, trial
}

// helpers groups the addresses of entry hosts by data centre.
func helpers(hosts []*peerv1.EntryHost) map[string][]string {
	out := make(map[string][]string)
	for _, h := range hosts {
		out[h.GetCenter()] = append(out[h.GetCenter()], h.GetAddress())
	}
	return out
}
