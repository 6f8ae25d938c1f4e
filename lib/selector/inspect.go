package selector

import (
	"math"
	"slices"
	"time"

	"lycheelift.example/lib/cataloguer"
)

// Reason is the reason why a leaf may not be called.
type Reason string

// Reasons why a leaf may not be called. The empty reason means that it may.
const (
	// Leaving means that the leaf has said that it is leaving.
	Leaving Reason = "leaving"
	// Paused means that the leaf has said for how long it wants no requests.
	Paused Reason = "paused"
	// ColdLimit means that this host's next call to the cold leaf is not due yet, or that it may not call the leaf at all now.
	ColdLimit Reason = "cold limit"
	// BackingOff means that the leaf could not be reached recently.
	BackingOff Reason = "backing off"
	// Tried means that the request has been sent to the leaf before.
	Tried Reason = "tried"
)

// Candidate is a leaf of a choice with this host's statistics of it.
type Candidate struct {
	Leaf *cataloguer.Leaf
	// Known is false if there are no statistics of the leaf yet.
	Known bool
	// Barred is the reason why the leaf may not be called. BackingOff is true if it could not be reached recently, even if
	// Force permits a call. Until is when either ends, zero if it is not known.
	Barred     Reason
	BackingOff bool
	Until      time.Time
	// Calls is the number of this host's calls in flight.
	Calls int
	// Load is the number of calls of other hosts when the leaf last reported its load, at LoadAt, and Assumed the number
	// assumed now. LoadAt is zero if it has reported none.
	Load, Assumed float64
	LoadAt        time.Time
	// Reported is the slowness of its host that the leaf reported at LoadAt, 0 if it reported none. Slowness is the one
	// assumed now, 0 if no candidate reports it.
	Reported, Slowness float64
	// Ratio is the expected ratio of the latency to the typical one, and FailureRate the expected fraction of calls that
	// fail.
	Ratio, FailureRate float64
	// Cost is the expected cost in latencies of a typical call, without the random part. It has no meaning if the leaf is
	// barred.
	Cost float64

	// estimate is what Cost is computed from.
	estimate estimate
}

// Inspect returns the candidates of a choice in the order of the holders. It changes nothing and uses no random number.
func (t *Table) Inspect(c Choice, now time.Time) []Candidate {
	out := make([]Candidate, 0, len(c.Holders))
	forecast := t.reportSlowness(c.Holders)
	for _, l := range c.Holders {
		out = append(out, t.inspect(&c, l, forecast, now))
	}
	return out
}

func (t *Table) inspect(c *Choice, l *cataloguer.Leaf, forecast bool, now time.Time) Candidate {
	r, known, unlock := t.lookup(l.Name, l.Incarnation)
	defer unlock()
	out := Candidate{
		Leaf: l, Known: known, Calls: len(r.open), Load: r.otherCalls, Assumed: r.expectedOtherCalls(now), LoadAt: r.loadAt,
		Ratio: r.expectedRatio(now), FailureRate: r.expectedFailureRate(now), BackingOff: r.backingOff(now),
		Reported: r.slowness,
	}
	if forecast {
		out.Slowness = r.expectedSlowness(t.usualSlowness(), now)
	}
	if now.Before(r.retryAt) {
		out.Until = r.retryAt
	}
	e, ok := r.estimate(c, l, forecast, t.usualSlowness(), now)
	switch {
	case slices.Contains(c.Tried, l.Name):
		out.Barred = Tried
	case ok:
		out.estimate, out.Cost = e, e.work+e.penalty
	case now.Before(r.leavingUntil):
		out.Barred, out.Until = Leaving, time.Time{}
	case r.isBarred(now):
		out.Barred, out.Until = Paused, r.pausedUntil
	case !c.permitsCold(r, l, now):
		out.Barred, out.Until = ColdLimit, c.nextColdCall(r, l, now)
	default:
		out.Barred = BackingOff
	}
	return out
}

// nextColdCall returns when this host may next call a cold leaf, or the zero time if it is not this host's turn.
func (c *Choice) nextColdCall(r *leafStats, l *cataloguer.Leaf, now time.Time) time.Time {
	if _, ok := c.Cold.interval(l, now); !ok {
		return time.Time{}
	}
	if r.nextColdSend.After(r.nextColdCall) {
		return r.nextColdSend
	}
	return r.nextColdCall
}

// Preferred returns the positions of the candidates with the lowest and the second lowest cost without the random part, -1
// where there is none. Odds is the probability, from 0 to 1, with which Choose returns the first; 0 if there is none.
func Preferred(candidates []Candidate) (first, second int, odds float64) {
	first, second = -1, -1
	for i := range candidates {
		switch {
		case candidates[i].Barred != "":
		case first < 0 || candidates[i].Cost < candidates[first].Cost:
			first, second = i, first
		case second < 0 || candidates[i].Cost < candidates[second].Cost:
			second = i
		}
	}
	if first < 0 {
		return first, second, 0
	}
	return first, second, oddsOf(first, candidates)
}

// oddsSteps is the number of random costs of a candidate that are compared with the others: the error of the odds is below 1%.
const oddsSteps = 64

// oddsOf returns the probability that a candidate has the lowest cost once the random parts are drawn.
func oddsOf(chosen int, candidates []Candidate) float64 {
	sum := 0.0
	for step := range oddsSteps {
		cost := candidates[chosen].estimate.draw((float64(step) + 0.5) / oddsSteps) //nolint:mnd // The middle of the step.
		all := 1.0
		for i := range candidates {
			if i != chosen && candidates[i].Barred == "" {
				all *= candidates[i].estimate.exceeds(cost)
			}
		}
		sum += all
	}
	return sum / oddsSteps
}

// exceeds returns the probability that draw returns more than a cost for a uniformly distributed random number.
func (e *estimate) exceeds(cost float64) float64 {
	certain := func(exceeds bool) float64 {
		if exceeds {
			return 1
		}
		return 0
	}
	if e.slowness == 0 {
		base := e.work + e.penalty
		if base <= 0 {
			return certain(base >= cost)
		}
		return 1 - min(1, max(0, (cost/base-1)/jitter))
	}
	if e.work <= 0 {
		return certain(e.penalty >= cost)
	}
	factor := (cost - e.penalty) / e.work
	if factor <= math.Pow(minDraw, e.chance) {
		return 1
	}
	return math.Exp(-math.Pow(factor, 1/e.chance)) // The inverse of randomFactor.
}
