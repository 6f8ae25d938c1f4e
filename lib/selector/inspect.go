package selector

import (
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
	// ColdLimit means that this host's next call to the cold leaf is not due yet.
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
	// Ratio is the expected ratio of the latency to the typical one, and FailureRate the expected fraction of calls that
	// fail.
	Ratio, FailureRate float64
	// Cost is the expected cost in latencies of a typical call, without the random part. It has no meaning if the leaf is
	// barred.
	Cost float64
}

// Inspect returns the candidates of a choice in the order of the holders. It changes nothing and uses no random number.
func (t *Table) Inspect(c Choice, now time.Time) []Candidate {
	out := make([]Candidate, 0, len(c.Holders))
	for _, l := range c.Holders {
		out = append(out, t.inspect(&c, l, now))
	}
	return out
}

func (t *Table) inspect(c *Choice, l *cataloguer.Leaf, now time.Time) Candidate {
	r, known, unlock := t.lookup(l.Name, l.Incarnation)
	defer unlock()
	out := Candidate{
		Leaf: l, Known: known, Calls: len(r.open), Load: r.otherCalls, Assumed: r.expectedOtherCalls(now), LoadAt: r.loadAt,
		Ratio: r.expectedRatio(now), FailureRate: r.expectedFailureRate(now), BackingOff: r.backingOff(now),
	}
	if now.Before(r.retryAt) {
		out.Until = r.retryAt
	}
	cost, ok := r.cost(c, l, now)
	switch {
	case slices.Contains(c.Tried, l.Name):
		out.Barred = Tried
	case ok:
		out.Cost = cost
	case now.Before(r.leavingUntil):
		out.Barred, out.Until = Leaving, time.Time{}
	case r.isBarred(now):
		out.Barred, out.Until = Paused, r.pausedUntil
	case c.ColdInterval > 0 && now.Before(l.ColdUntil) && now.Before(r.nextColdCall):
		out.Barred, out.Until = ColdLimit, r.nextColdCall
	default:
		out.Barred = BackingOff
	}
	return out
}

// Preferred returns the positions of the candidates with the lowest and the second lowest cost, -1 where there is none.
// Chance is true if the random part of the costs can reverse their order.
func Preferred(candidates []Candidate) (first, second int, chance bool) {
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
	chance = second >= 0 && candidates[second].Cost < candidates[first].Cost*(1+jitter)
	return first, second, chance
}
