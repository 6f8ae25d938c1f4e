package enroller

import (
	"net/netip"
	"time"
)

// claimTimeout is the time for which a displaced leaf must be heard, and the leaf that holds its address must not, before the
// displaced leaf gets the address back. Other control hosts forward the heartbeats of the holder every RefreshInterval, of
// which two may be late.
const claimTimeout = 3 * RefreshInterval

// newer reports whether a record takes an address from another leaf. Hosts that receive the records in a different order
// decide the same.
func newer(l, holder *Leaf) bool {
	return l.Born > holder.Born || l.Born == holder.Born && l.Name > holder.Name
}

// isLive reports whether a leaf may hold its address: it is not leaving, and the configuration names its service.
func (r *Roster) isLive(l *Leaf) bool {
	return (!l.Leaving || l.Displaced) && r.named(l.Service)
}

// rival returns the leaf that holds the address of a record of another leaf, or nil.
func (r *Roster) rival(l *Leaf) *entry {
	name, ok := r.addresses[l.Address]
	if !ok || name == l.Name || !r.named(l.Service) {
		return nil
	}
	e := r.leaves[name]
	if e == nil || e.leaf.Leaving || e.leaf.Address != l.Address || !r.named(e.leaf.Service) {
		return nil
	}
	return e
}

// assign notes that a leaf holds its address.
func (r *Roster) assign(l *Leaf) {
	if !l.Leaving && r.named(l.Service) {
		r.addresses[l.Address] = l.Name
	}
}

// dispossess takes the address from its holder. A holder that was not renewed is removed for good, because the other hosts must
// learn of it and do not receive its heartbeats.
func (r *Roster) dispossess(holder *entry, l *Leaf) {
	leaf := *holder.leaf
	leaf.Leaving, leaf.Displaced = true, newer(l, holder.leaf)
	holder.heardSince = time.Time{}
	r.put(holder, &leaf)
}

// lapsed reports whether the holder of an address has sent no heartbeat for claimTimeout, while the displaced leaf did.
func (r *Roster) lapsed(holder, displaced *entry, direct bool, now time.Time) bool {
	if displaced == nil || !displaced.leaf.Displaced || !direct {
		return false
	}
	if !holder.lastHeartbeat.Before(displaced.heardSince) {
		displaced.heardSince = now
	}
	return now.Sub(displaced.heardSince) >= claimTimeout
}

// storeDisplaced stores the record of a leaf whose address belongs to another one.
func (r *Roster) storeDisplaced(l *Leaf, old *entry, direct bool, now time.Time) {
	leaf := *l
	leaf.Leaving, leaf.Displaced = true, true
	if old != nil && old.leaf.Displaced && old.leaf.Born == l.Born {
		r.touch(old, &leaf, direct, now)
		return
	}
	r.store(&leaf, now)
}

// Settle determines again which leaf holds each address, after the configuration has changed. It reports whether any leaf has
// changed.
func (r *Roster) Settle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := make(map[netip.AddrPort]*entry)
	for _, e := range r.leaves {
		if h := holders[e.leaf.Address]; r.isLive(e.leaf) && (h == nil || newer(e.leaf, h.leaf)) {
			holders[e.leaf.Address] = e
		}
	}
	changed := false
	clear(r.addresses)
	for address, e := range holders {
		r.addresses[address] = e.leaf.Name
	}
	for _, e := range r.leaves {
		displaced := r.isLive(e.leaf) && holders[e.leaf.Address] != e
		if displaced == e.leaf.Displaced {
			continue
		}
		leaf := *e.leaf
		leaf.Leaving, leaf.Displaced = displaced, displaced
		r.put(e, &leaf)
		changed = true
	}
	return changed
}
