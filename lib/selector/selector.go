// Package selector chooses the leaf of each call from this host's statistics of the leaves: open calls, latencies,
// failures and the load that leaves report. It is used where hosts call leaves directly, so that no host has an exact
// count of a leaf's used slots.
package selector

import (
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// Costs are in units of the latency of a typical call.
const (
	// remoteCost is added for a leaf of another data centre, because traffic between data centres is billed.
	remoteCost = 0.5
	// coldCost is added for a leaf that reports that it is cold.
	coldCost = 1.0
	// overdueCost is added for a leaf with an answer outstanding for longer than overdueFactor typical latencies.
	overdueCost   = 2.0
	overdueFactor = 2.5
	// busyCost is added, times the ratio of open calls to slots.
	busyCost = 0.25
	// failureCost is added, times the odds of a failure.
	failureCost = 4.0
	// maxFailureRate limits the failure rate from which the odds are computed.
	maxFailureRate = 0.95
	// jitter is the random part that is added to a cost, as a fraction of it.
	jitter = 0.02
)

// maxFailedConnects is the number of consecutive calls that did not reach a leaf after which not even Force permits
// another call during the backoff.
const maxFailedConnects = 3

// minOverdueAge is the age below which a call is never overdue, because scheduling and the network add a few
// milliseconds.
const minOverdueAge = 12 * time.Millisecond

// Random returns a number from 0 (inclusive) to 1 (exclusive).
type Random func() float64

// Choice holds the candidates and the parameters of one choice.
type Choice struct {
	Holders []*cataloguer.Leaf
	// Tried names leaves that must not be chosen.
	Tried []string
	// Center is the data centre of this host.
	Center string
	// Typical is the latency of a typical call of the request.
	Typical time.Duration
	// ColdInterval is the minimum time between two calls of this host to a cold leaf; 0 means no limit.
	ColdInterval time.Duration
	// Force also permits leaves that were recently unreachable, unless several consecutive calls have failed.
	Force bool
	// Random breaks ties.
	Random Random
}

// Choose returns the leaf with the lowest expected cost. It reports false when no leaf may be called.
func (t *Table) Choose(c Choice, now time.Time) (*cataloguer.Leaf, bool) {
	var best *cataloguer.Leaf
	least := 0.0
	for _, l := range c.Holders {
		if slices.Contains(c.Tried, l.Name) {
			continue
		}
		cost, ok := t.cost(&c, l, now)
		if !ok {
			continue
		}
		// Random jitter spreads the calls of hosts with the same statistics over leaves of equal cost.
		cost *= 1 + jitter*c.Random()
		if best == nil || cost < least {
			best, least = l, cost
		}
	}
	return best, best != nil
}

// cost estimates the cost of a call to a leaf. It reports false when the leaf must not be called now.
func (t *Table) cost(c *Choice, l *cataloguer.Leaf, now time.Time) (float64, bool) {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	return r.cost(c, l, now)
}

// cost estimates the cost of a call to the leaf of the statistics, without the random part. It changes nothing.
func (r *leafStats) cost(c *Choice, l *cataloguer.Leaf, now time.Time) (float64, bool) {
	if r.isBarred(now) {
		return 0, false
	}
	cold := now.Before(l.ColdUntil)
	if cold && c.ColdInterval > 0 && now.Before(r.nextColdCall) {
		return 0, false
	}
	backingOff := r.backingOff(now)
	if backingOff && (!c.Force || r.failedConnects >= maxFailedConnects) {
		return 0, false
	}
	slots := float64(max(l.Slots, 1))
	queue := float64(len(r.open)) + r.expectedOtherCalls(now)
	wait := max(0, queue+1-slots) / slots
	out := r.expectedRatio(now)*(1+wait) + busyCost*queue/slots + r.overdue(c.Typical, now)
	failureRate := min(r.expectedFailureRate(now), maxFailureRate)
	out += failureCost * failureRate / (1 - failureRate)
	if l.Center != c.Center {
		out += remoteCost
	}
	if cold {
		out += coldCost
	}
	if backingOff {
		out += failureCost * float64(1+r.failedConnects)
	}
	return out, true
}

// backingOff reports whether the leaf could not be reached recently and is not due for another attempt.
func (r *leafStats) backingOff(now time.Time) bool {
	return now.Before(r.retryAt) || r.failedConnects > 0 && len(r.open) > 0
}
