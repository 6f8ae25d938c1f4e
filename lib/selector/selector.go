// Package selector chooses the leaf of each call from what this host has seen of the leaves: calls that are open,
// latencies, failures and the load that leaves state. It is used where hosts call leaves directly and no host counts
// a leaf's slots exactly.
package selector

import (
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// Costs are counted in durations of a typical call.
const (
	// remoteCost is added for a leaf of another data centre: bytes between data centres are paid for.
	remoteCost = 0.5
	// coldCost is added for a leaf that says that it is cold.
	coldCost = 1.0
	// overdueCost is added for a leaf that owes an answer for longer than overdueFactor typical calls.
	overdueCost   = 2.0
	overdueFactor = 2.5
	// busyCost is added for a leaf whose slots are all in use.
	busyCost = 0.25
	// failureCost is added, times the odds of a failure, for a leaf that fails.
	failureCost = 4.0
	// mostFailing bounds the odds.
	mostFailing = 0.95
)

// goneStreak is the number of calls in a row that did not reach a leaf after which not even Force permits another one
// before its time.
const goneStreak = 3

// leastOverdue is the age below which a call is never overdue: goroutines and networks add some milliseconds.
const leastOverdue = 12 * time.Millisecond

// Random returns a number from 0 up to 1.
type Random func() float64

// Choice is a set of leaves to choose from.
type Choice struct {
	Holders []*cataloguer.Leaf
	// Tried names leaves that are not to be chosen.
	Tried []string
	// Center is the data centre of this host.
	Center string
	// Typical is the latency of a typical call of the request.
	Typical time.Duration
	// ColdInterval is the least time between two of this host's calls to a cold leaf; 0 means no bound.
	ColdInterval time.Duration
	// Force also permits leaves that lately could not be reached, unless that has happened several times in a row.
	Force bool
	// Random breaks ties.
	Random Random
}

// Choose returns the leaf with the least expected cost. It reports false when no leaf may be called.
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
		// The small random part spreads hosts that know the same over leaves that are alike.
		cost *= 1 + 0.02*c.Random()
		if best == nil || cost < least {
			best, least = l, cost
		}
	}
	return best, best != nil
}

// cost estimates what a call to a leaf costs, in typical calls.
func (t *Table) cost(c *Choice, l *cataloguer.Leaf, now time.Time) (float64, bool) {
	r, unlock := t.record(l.Name, l.Incarnation, now)
	defer unlock()
	cold := now.Before(l.ColdUntil)
	if cold && c.ColdInterval > 0 && now.Before(r.cold) {
		return 0, false
	}
	shut := now.Before(r.until) || r.streak > 0 && len(r.open) > 0
	if shut && (!c.Force || r.streak >= goneStreak) {
		return 0, false
	}
	slots := float64(max(l.Slots, 1))
	queue := float64(len(r.open)) + r.others(now)
	wait := max(0, queue+1-slots) / slots
	out := r.speed(now)*(1+wait) + busyCost*queue/slots + r.overdue(c.Typical, now)
	failing := min(r.failing(now), mostFailing)
	out += failureCost * failing / (1 - failing)
	if l.Center != c.Center {
		out += remoteCost
	}
	if cold {
		out += coldCost
	}
	if shut {
		out += failureCost * float64(1+r.streak)
	}
	return out, true
}
