// Package enroller keeps the roster of leaves on a platform where they announce themselves to any control host:
// which leaves there are, at which address, of which service, and which of them leave.
//
// A leaf is identified by its name and the start of its incarnation (born). Within an incarnation its heartbeats are
// ordered by their sequence. Service, address and data centre of an incarnation never change. An address belongs to
// the newest incarnation that announced it.
package enroller

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// Silence is the time after which a leaf that no control host hears is dropped.
	Silence = 30 * time.Second
	// Refresh is the time after which a record that did not change is passed on, so that other control hosts know
	// that its leaf is still heard.
	Refresh = 5 * time.Second
	// Relay is the same for a record that came from another control host. All follow each other, so that it is needed
	// only where two of them cannot; it leaves them the time Silence.
	Relay = 15 * time.Second
	// tombTime is how long the record of a leaf that has left is kept for followers that do not know it yet.
	tombTime = 2 * time.Minute
)

// Leaf is one backend server. A Leaf is never changed; a new heartbeat makes a new one.
type Leaf struct {
	Name string
	// Born is the start of the incarnation, Unix time in milliseconds, by the leaf's own clock.
	Born     uint64
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Center   string
	Program  string
	Slots    int
	// Leaving is set once the incarnation has said that it leaves.
	Leaving bool
	// ColdUntil is when the leaf will be warm, by its own statement.
	ColdUntil time.Time
}

// Verdict says what became of a record.
type Verdict int

// Verdicts.
const (
	// Changed means that the roster has changed.
	Changed Verdict = iota + 1
	// Same means that the record was newer and said nothing new.
	Same
	// Stale means that a newer record is known.
	Stale
	// Conflicting means that the record contradicts an older one of the same incarnation.
	Conflicting
)

// entry is a leaf in the roster.
type entry struct {
	leaf *Leaf
	// revision is that of the last change, refreshed that of the last change or refresh.
	revision, refreshed uint64
	heard               time.Time
	passed              time.Time
}

// Roster is what one control host knows of all leaves. It is safe for concurrent use.
type Roster struct {
	mu       sync.Mutex
	leaves   map[string]*entry
	places   map[netip.AddrPort]string
	revision uint64
	// horizon is the highest revision of a record that was dropped with its tombstone.
	horizon uint64
	changed chan struct{}
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{leaves: make(map[string]*entry), places: make(map[netip.AddrPort]string), changed: make(chan struct{})}
}

// Put takes a record from the leaf itself.
func (r *Roster) Put(l *Leaf, now time.Time) Verdict {
	return r.take(l, Refresh, now)
}

// take takes a record. One that says nothing new is passed on again after a time.
func (r *Roster) take(l *Leaf, again time.Duration, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.leaves[l.Name]
	if old != nil {
		if verdict := compare(l, old.leaf, now); verdict != Changed {
			if verdict == Same {
				r.hear(old, l, again, now)
			}
			return verdict
		}
	}
	if !r.claim(l) {
		return Stale
	}
	r.store(l, now)
	return Changed
}

// compare says what a record adds to the known one of the same leaf.
func compare(l, old *Leaf, now time.Time) Verdict {
	switch {
	case l.Born < old.Born:
		return Stale
	case l.Born > old.Born:
		return Changed
	case l.Service != old.Service || l.Address != old.Address || l.Center != old.Center:
		return Conflicting
	case old.Leaving && !l.Leaving:
		return Stale
	case l.Leaving && !old.Leaving:
		return Changed
	case l.Sequence <= old.Sequence:
		return Stale
	case l.Slots != old.Slots || l.Program != old.Program || coldness(l, old, now):
		return Changed
	}
	return Same
}

// coldTolerance is the difference between two statements on coldness that is not passed on.
const coldTolerance = 300 * time.Millisecond

// coldness reports whether a record says something new on when the leaf will be warm.
func coldness(l, old *Leaf, now time.Time) bool {
	next, before := max(0, l.ColdUntil.Sub(now)), max(0, old.ColdUntil.Sub(now))
	return (next - before).Abs() > coldTolerance
}

// claim takes the leaf's address from an older incarnation, and reports false when a newer one has it.
func (r *Roster) claim(l *Leaf) bool {
	name, ok := r.places[l.Address]
	if !ok || name == l.Name {
		return true
	}
	holder := r.leaves[name]
	if holder == nil || holder.leaf.Leaving || holder.leaf.Address != l.Address {
		return true
	}
	if holder.leaf.Born > l.Born {
		return l.Leaving
	}
	gone := *holder.leaf
	gone.Leaving = true
	r.put(holder, &gone)
	return true
}

func (r *Roster) store(l *Leaf, now time.Time) {
	e := r.leaves[l.Name]
	if e == nil {
		e = &entry{}
		r.leaves[l.Name] = e
	}
	e.heard, e.passed = now, now
	r.put(e, l)
	if !l.Leaving {
		r.places[l.Address] = l.Name
	}
}

// put changes an entry and wakes who waits for changes.
func (r *Roster) put(e *entry, l *Leaf) {
	r.revision++
	e.leaf, e.revision, e.refreshed = l, r.revision, r.revision
	close(r.changed)
	r.changed = make(chan struct{})
}

// hear notes a heartbeat that says nothing new. Other control hosts are told now and then.
func (r *Roster) hear(e *entry, l *Leaf, again time.Duration, now time.Time) {
	e.leaf, e.heard = l, now
	if now.Sub(e.passed) < again {
		return
	}
	e.passed = now
	r.revision++
	e.refreshed = r.revision
}

// Leave notes that an incarnation of a leaf leaves. A leaf that is not known gets no record; the caller remembers
// departures.
func (r *Roster) Leave(name string, born uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.leaves[name]
	if e == nil || e.leaf.Born > born || e.leaf.Leaving {
		return
	}
	gone := *e.leaf
	gone.Leaving = true
	e.heard = now
	r.put(e, &gone)
}

// Expire drops leaves that no control host hears, and the records of those that have left. Followers are not told:
// silence towards control hosts does not prove that a leaf does not answer.
func (r *Roster) Expire(now time.Time) (dropped []*Leaf) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.leaves {
		quiet := now.Sub(e.heard)
		if quiet < Silence || e.leaf.Leaving && quiet < tombTime {
			continue
		}
		delete(r.leaves, name)
		r.horizon = max(r.horizon, e.refreshed)
		if r.places[e.leaf.Address] == name {
			delete(r.places, e.leaf.Address)
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

// Batch is what has changed in a roster.
type Batch struct {
	Leaves []*Leaf
	// Whole is true when the batch holds every leaf.
	Whole bool
	// Revision is to be given with the next call.
	Revision uint64
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// Since returns the records that have changed after a revision, and with refreshes also those that were heard again.
// Revision 0 asks for the whole roster.
func (r *Roster) Since(revision uint64, refreshes bool) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := revision == 0 || revision < r.horizon
	out := Batch{Whole: whole, Revision: r.revision, Changed: r.changed}
	for _, e := range r.leaves {
		at := e.revision
		if refreshes {
			at = e.refreshed
		}
		if whole || at > revision {
			out.Leaves = append(out.Leaves, e.leaf)
		}
	}
	return out
}
