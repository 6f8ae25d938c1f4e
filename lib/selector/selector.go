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
	// jitter is the random share of a cost among leaves that do not report slowness.
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
	// Cold limits the calls to cold leaves.
	Cold ColdShare
	// Force also permits leaves that were recently unreachable, unless several consecutive calls have failed.
	Force bool
	// Random is drawn once for each candidate.
	Random Random
}

// Decision is a chosen leaf and what led to the choice.
type Decision struct {
	Leaf *cataloguer.Leaf
	// Cost is the expected cost in units of the latency of a typical call.
	Cost float64
	// Slowness is the expected slowness of the leaf's host; 0 if no candidate reports it.
	Slowness float64
	// Remote is true when the leaf is in another data centre although one of this host's own could have been called.
	Remote bool
}

// Choose returns the leaf with the lowest expected cost. It reports false when no leaf may be called.
func (t *Table) Choose(c Choice, now time.Time) (*cataloguer.Leaf, bool) {
	d, ok := t.Decide(c, now)
	return d.Leaf, ok
}

// Decide is like Choose and also returns what led to the choice.
func (t *Table) Decide(c Choice, now time.Time) (Decision, bool) {
	var out Decision
	least, local := 0.0, false
	forecast := t.reportSlowness(c.Holders)
	for _, l := range c.Holders {
		if slices.Contains(c.Tried, l.Name) {
			continue
		}
		e, ok := t.estimate(&c, l, forecast, now)
		if !ok {
			continue
		}
		local = local || l.Center == c.Center
		if cost := e.draw(c.Random()); out.Leaf == nil || cost < least {
			out, least = Decision{Leaf: l, Cost: e.work + e.penalty, Slowness: e.slowness}, cost
		}
	}
	out.Remote = local && out.Leaf.Center != c.Center
	return out, out.Leaf != nil
}

// reportSlowness reports whether any of the leaves has reported the slowness of its host in its latest report.
func (t *Table) reportSlowness(leaves []*cataloguer.Leaf) bool {
	return t.ReportsSlowness() && slices.ContainsFunc(leaves, func(l *cataloguer.Leaf) bool {
		r, _, unlock := t.lookup(l.Name, l.Incarnation)
		defer unlock()
		return r.slowness > 0
	})
}

// estimate is what is expected of a call to a leaf.
type estimate struct {
	// work is the expected latency, and penalty the cost of everything else.
	work, penalty float64
	// slowness is the expected slowness of the leaf's host, 0 if leaves do not report it. chance is then the exponent of the
	// random factor of work.
	slowness, chance float64
}

// draw returns the cost with its random part, which spreads the calls of hosts with the same statistics over leaves of
// similar cost.
func (e *estimate) draw(random float64) float64 {
	if e.slowness == 0 {
		return (e.work + e.penalty) * (1 + jitter*random)
	}
	return e.work*randomFactor(e.chance, random) + e.penalty
}

// estimate estimates a call to a leaf. It reports false when the leaf must not be called now. Forecast is true if any
// candidate reports slowness.
func (t *Table) estimate(c *Choice, l *cataloguer.Leaf, forecast bool, now time.Time) (estimate, bool) {
	r, unlock := t.stats(l.Name, l.Incarnation, now)
	defer unlock()
	return r.estimate(c, l, forecast, t.usualSlowness(), now)
}

// estimate estimates a call to the leaf of the statistics. Usual is the mean slowness that leaves report. It changes nothing.
func (r *leafStats) estimate(c *Choice, l *cataloguer.Leaf, forecast bool, usual float64, now time.Time) (estimate, bool) {
	var out estimate
	if r.isBarred(now) {
		return out, false
	}
	cold := now.Before(l.ColdUntil)
	if !c.permitsCold(r, l, now) {
		return out, false
	}
	backingOff := r.backingOff(now)
	if backingOff && (!c.Force || r.failedConnects >= maxFailedConnects) {
		return out, false
	}
	slots := float64(max(l.Slots, 1))
	queue := float64(len(r.open)) + r.expectedOtherCalls(now)
	wait := max(0, queue+1-slots) / slots
	ratio := r.expectedRatio(now)
	if forecast {
		out.slowness, out.chance = r.expectedSlowness(usual, now), r.chance(queue, slots, len(c.Holders), now)
		ratio *= out.slowness
	}
	out.work = ratio*(1+wait) + busyCost*queue/slots
	failureRate := min(r.expectedFailureRate(now), maxFailureRate)
	out.penalty = r.overdue(c.Typical, now) + failureCost*failureRate/(1-failureRate)
	if l.Center != c.Center {
		out.penalty += remoteCost
	}
	if cold {
		out.penalty += coldCost
	}
	if backingOff {
		out.penalty += failureCost * float64(1+r.failedConnects)
	}
	return out, true
}

// backingOff reports whether the leaf could not be reached recently and is not due for another attempt.
func (r *leafStats) backingOff(now time.Time) bool {
	return now.Before(r.retryAt) || r.failedConnects > 0 && len(r.open) > 0
}
