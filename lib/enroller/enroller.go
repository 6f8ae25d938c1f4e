// Package enroller maintains the roster of leaves on a platform where they register themselves with any control host.
// The roster holds the address and service of each leaf and whether it is leaving.
//
// A leaf is identified by its name and the start of its incarnation (born). Within an incarnation its heartbeats are
// ordered by their sequence. Service, address and data centre of an incarnation never change. An address belongs to
// the newest incarnation that announced it for a service that the configuration names; see claim.go.
package enroller

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// HeartbeatTimeout is the time without a heartbeat after which a leaf is removed from the roster.
	HeartbeatTimeout = 30 * time.Second
	// RefreshInterval is the interval at which an unchanged record is forwarded, so that other control hosts know that
	// its leaf still sends heartbeats.
	RefreshInterval = 5 * time.Second
	// RelayInterval is the same interval for a record that was received from another control host. All control hosts follow
	// each other, so relaying matters only where two of them cannot; it must be well below HeartbeatTimeout.
	RelayInterval = 15 * time.Second
	// tombstoneTime is the time for which the record of a departed leaf is kept, so that all followers receive it.
	tombstoneTime = 2 * time.Minute
)

// Leaf is the record of a backend server. It is immutable; each heartbeat creates a new one.
type Leaf struct {
	Name string
	// Born is the start of the incarnation by the leaf's own clock, as Unix time in milliseconds.
	Born     uint64
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Center   string
	Program  string
	Slots    int
	// Leaving is set once the incarnation has announced its departure, and while it is displaced.
	Leaving bool
	// Displaced is set while a newer incarnation of another leaf holds the address. Unlike a departure it can end, and each host
	// determines it from the records that it knows.
	Displaced bool
	// ColdUntil is the time from which the leaf expects to be warm.
	ColdUntil time.Time
}

// Verdict is the result of adding a record to the roster.
type Verdict int

// Verdicts.
const (
	// Changed means that the roster has changed.
	Changed Verdict = iota + 1
	// Same means that the record was newer but equal in content.
	Same
	// Stale means that a newer record is known.
	Stale
	// Conflicting means that the record contradicts an older one of the same incarnation.
	Conflicting
)

// entry is a leaf in the roster.
type entry struct {
	leaf *Leaf
	// revision is the roster revision of the last change, refreshed that of the last change or refresh.
	revision, refreshed uint64
	lastHeartbeat       time.Time
	lastForwarded       time.Time
	// heardSince is the first heartbeat that this host received from the displaced leaf itself after the last one of the leaf
	// that holds its address.
	heardSince time.Time
}

// Roster holds the records of all leaves that a control host knows. It is safe for concurrent use.
type Roster struct {
	// named reports whether the configuration names a service.
	named func(service string) bool

	mu        sync.Mutex
	leaves    map[string]*entry
	addresses map[netip.AddrPort]string
	revision  uint64
	// horizon is the highest revision of a removed record. Followers behind it need the whole roster.
	horizon uint64
	changed chan struct{}
}

// Option configures a roster.
type Option func(*Roster)

// WithServices sets the function that reports whether the configuration names a service. It must return true for every service
// as long as there is no configuration. By default all services are named.
func WithServices(named func(service string) bool) Option {
	return func(r *Roster) { r.named = named }
}

// New returns an empty roster.
func New(options ...Option) *Roster {
	r := &Roster{
		leaves: make(map[string]*entry), addresses: make(map[netip.AddrPort]string), changed: make(chan struct{}),
		named: func(string) bool { return true },
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Put adds a record that was received from the leaf itself.
func (r *Roster) Put(l *Leaf, now time.Time) Verdict {
	return r.update(l, true, now)
}

// update adds a record, received from the leaf itself (direct) or from another host.
func (r *Roster) update(l *Leaf, direct bool, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, verdict := r.leaves[l.Name], Changed
	if old != nil {
		verdict = r.compare(l, old.leaf, now)
	}
	if verdict == Stale || verdict == Conflicting {
		return verdict
	}
	if holder := r.rival(l); holder != nil && !l.Leaving {
		if !newer(l, holder.leaf) && !r.lapsed(holder, old, direct, now) {
			r.storeDisplaced(l, old, direct, now)
			return Stale
		}
		r.dispossess(holder, l)
	}
	if verdict == Same && !old.leaf.Displaced {
		r.touch(old, l, direct, now)
		r.assign(l)
		return Same
	}
	r.store(l, now)
	return Changed
}

// compare classifies a record by comparing it with the known one of the same leaf.
func (r *Roster) compare(l, old *Leaf, now time.Time) Verdict {
	gone := old.Leaving && !old.Displaced
	switch {
	case l.Born < old.Born:
		return Stale
	case l.Service != old.Service && r.named(old.Service) && !r.named(l.Service):
		return Conflicting // It says nothing about a leaf of another service.
	case l.Born > old.Born:
		return Changed
	case l.Service != old.Service || l.Address != old.Address || l.Center != old.Center:
		return Conflicting
	case gone && !l.Leaving:
		return Stale
	case l.Leaving && !gone:
		return Changed
	case l.Sequence <= old.Sequence:
		return Stale
	case l.Slots != old.Slots || l.Program != old.Program || warmUpChanged(l, old, now):
		return Changed
	}
	return Same
}

// coldTolerance is the largest difference between two remaining warm-up times that does not count as a change.
const coldTolerance = 300 * time.Millisecond

// warmUpChanged reports whether the remaining warm-up time differs noticeably between two records.
func warmUpChanged(l, old *Leaf, now time.Time) bool {
	next, before := max(0, l.ColdUntil.Sub(now)), max(0, old.ColdUntil.Sub(now))
	return (next - before).Abs() > coldTolerance
}

func (r *Roster) store(l *Leaf, now time.Time) {
	e := r.leaves[l.Name]
	if e == nil {
		e = &entry{}
		r.leaves[l.Name] = e
	}
	e.lastHeartbeat, e.lastForwarded = now, now
	r.put(e, l)
	r.assign(l)
}

// put replaces the record of an entry and notifies the followers.
func (r *Roster) put(e *entry, l *Leaf) {
	r.revision++
	e.leaf, e.revision, e.refreshed = l, r.revision, r.revision
	close(r.changed)
	r.changed = make(chan struct{})
}

// touch records a heartbeat without changes. Other control hosts are informed at most once per interval.
func (r *Roster) touch(e *entry, l *Leaf, direct bool, now time.Time) {
	interval := RelayInterval
	if direct {
		interval = RefreshInterval
	}
	e.leaf, e.lastHeartbeat = l, now
	if now.Sub(e.lastForwarded) < interval {
		return
	}
	e.lastForwarded = now
	r.revision++
	e.refreshed = r.revision
}

// Leave marks an incarnation of a leaf as leaving. An unknown leaf gets no record; the caller keeps the departures.
func (r *Roster) Leave(name string, born uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.leaves[name]
	if e == nil || e.leaf.Born > born || e.leaf.Leaving && !e.leaf.Displaced {
		return
	}
	leaving := *e.leaf
	leaving.Leaving, leaving.Displaced = true, false
	e.lastHeartbeat = now
	r.put(e, &leaving)
}

// Expire removes leaves without recent heartbeats and expired records of departed leaves. Followers are not notified,
// because missing heartbeats to control hosts do not prove that a leaf is down.
func (r *Roster) Expire(now time.Time) (dropped []*Leaf) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.leaves {
		age := now.Sub(e.lastHeartbeat)
		if age < HeartbeatTimeout || e.leaf.Leaving && age < tombstoneTime {
			continue
		}
		delete(r.leaves, name)
		r.horizon = max(r.horizon, e.refreshed)
		if r.addresses[e.leaf.Address] == name {
			delete(r.addresses, e.leaf.Address)
		}
		dropped = append(dropped, e.leaf)
	}
	return dropped
}

// Find returns the newest record of a leaf.
func (r *Roster) Find(name string) (*Leaf, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.leaves[name]
	if !ok {
		return nil, false
	}
	return e.leaf, true
}

// Batch is a set of changes to a roster.
type Batch struct {
	Leaves []*Leaf
	// Complete is true when the batch contains every leaf.
	Complete bool
	// Revision must be passed to the next call.
	Revision uint64
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// Since returns the records that changed after a revision, and with refreshes also those that were refreshed.
// Revision 0 requests the whole roster.
func (r *Roster) Since(revision uint64, refreshes bool) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete := revision == 0 || revision < r.horizon
	out := Batch{Complete: complete, Revision: r.revision, Changed: r.changed}
	for _, e := range r.leaves {
		at := e.revision
		if refreshes {
			at = e.refreshed
		}
		if complete || at > revision {
			out.Leaves = append(out.Leaves, e.leaf)
		}
	}
	return out
}
