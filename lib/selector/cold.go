package selector

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheelift.example/lib/cataloguer"
)

const (
	// coldWindow is the time in which a host sends its share of a second's calls: a second, and a margin for clocks that differ.
	coldWindow = 1100 * time.Millisecond
	// coldSlot is the length of the time slots in which hosts take turns when a leaf permits fewer calls a second than there are
	// hosts. Calls are sent in the first coldTurn of a slot, so that the calls of two slots lie more than a second apart although
	// hosts differ by some 300 ms in when they expect the leaf to be warm.
	coldSlot = 3 * time.Second
	coldTurn = 1500 * time.Millisecond
	// hostCountTime is the time for which a higher number of hosts is used after it has fallen: hosts that are lost to the
	// control hosts may go on sending. settleTime is the time after the first number in which cold leaves are not called,
	// because after a loss of all hosts the others are not counted yet.
	hostCountTime = 10 * time.Second
	settleTime    = time.Second
)

// ColdShare describes how the calls to a cold leaf are divided among the hosts. The sum over all hosts that know the same list of
// hosts is at most the bound in any second.
type ColdShare struct {
	// Bound is the number of calls that a cold leaf may get in any second from all hosts; 0 means no limit.
	Bound float64
	// Hosts is the number of hosts, and Index the position of this host in their common order, negative if it is unknown.
	Hosts, Index int
	// Unsettled is true while the number of hosts is not known yet.
	Unsettled bool
}

// limits reports whether the calls to a leaf are limited at present.
func (s *ColdShare) limits(l *cataloguer.Leaf, now time.Time) bool {
	return s.Bound > 0 && now.Before(l.ColdUntil)
}

// interval returns the minimum time between two calls of this host to a cold leaf. It returns false while the host must not call
// the leaf at all.
func (s *ColdShare) interval(l *cataloguer.Leaf, now time.Time) (time.Duration, bool) {
	hosts, all := uint64(max(s.Hosts, 1)), uint64(math.Floor(s.Bound))
	if s.Unsettled || all == 0 {
		return 0, false
	}
	calls := all / hosts
	if s.Index >= 0 {
		// The position differs between leaves, so that the hosts with a larger share of one have a smaller share of another.
		position := (uint64(s.Index) + xxhash.Sum64String(l.Name)) % hosts
		if calls == 0 {
			return coldWindow, hasTurn(position, all, hosts, l.ColdUntil.Sub(now))
		}
		if position < all%hosts {
			calls++
		}
	}
	if calls == 0 {
		return 0, false
	}
	return coldWindow / time.Duration(calls), true //nolint:gosec // A small number.
}

// hasTurn reports whether the host at a position may call a leaf that is warm after the given time. The hosts take turns in groups
// as large as the number of calls that the leaf permits in a second.
func hasTurn(position, group, hosts uint64, remaining time.Duration) bool {
	slot, left := uint64(remaining/coldSlot), remaining%coldSlot //nolint:gosec // Not negative.
	return left >= coldSlot-coldTurn && (position+slot%hosts*group)%hosts < group
}

// permitsCold reports whether a leaf may be chosen as far as it is cold.
func (c *Choice) permitsCold(r *leafStats, l *cataloguer.Leaf, now time.Time) bool {
	if !c.Cold.limits(l, now) {
		return true
	}
	_, ok := c.Cold.interval(l, now)
	return ok && !now.Before(r.nextColdCall) && !now.Before(r.nextColdSend)
}

// PermitSend reports whether a call may be sent now as far as its leaf is cold. It must be asked once for each call, immediately before
// the call is sent: calls that were begun earlier may have waited for a connection.
func (t *Table) PermitSend(l *cataloguer.Leaf, c *Choice, now time.Time) bool {
	if !c.Cold.limits(l, now) {
		return true
	}
	interval, ok := c.Cold.interval(l, now)
	if !ok {
		return false
	}
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	if now.Before(r.nextColdSend) {
		return false
	}
	r.nextColdSend = now.Add(interval)
	return true
}

// HostCount is the number of hosts by which limits are divided. It is not safe for concurrent use.
type HostCount struct {
	first time.Time
	// current and previous are the highest numbers in two successive periods of hostCountTime; the current one began at began.
	current, previous int
	began             time.Time
}

// Observe records a number of hosts. It returns the highest recent one and reports whether it has been known for long enough.
func (h *HostCount) Observe(hosts int, now time.Time) (count int, settled bool) {
	if h.first.IsZero() {
		h.first, h.began = now, now
	}
	if now.Sub(h.began) >= hostCountTime {
		h.previous, h.current, h.began = h.current, 0, now
	}
	h.current = max(h.current, hosts)
	return max(h.current, h.previous), now.Sub(h.first) >= settleTime
}

// Inspect returns what Observe would return, and changes nothing.
func (h *HostCount) Inspect(hosts int, now time.Time) (count int, settled bool) {
	seen := *h
	return seen.Observe(hosts, now)
}
