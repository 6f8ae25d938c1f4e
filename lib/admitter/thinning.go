package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// thinningHalflife is the time in which the part of the requests that is rejected for an observed queue halves, and
	// leastStep the lowest factor by which one observation reduces the part that is admitted.
	thinningHalflife = 3 * time.Second
	leastStep        = 0.5
	// leastAdmitted is the part of a kind of request that is always admitted.
	leastAdmitted = 0.2
)

// thinning is the part of a kind of request that is admitted because of queues that leaves reported.
type thinning struct {
	at       time.Time
	admitted float64
	expected time.Duration
	allowed  time.Duration
}

// part returns the part that is admitted now.
func (v thinning) part(now time.Time) float64 {
	if v.at.IsZero() {
		return 1
	}
	return 1 - (1-v.admitted)*math.Exp2(-float64(now.Sub(v.at))/float64(thinningHalflife))
}

// observe adapts the part of each kind of request that is admitted to the expected time until an answer that a leaf has just
// reported.
func (s *service) observe(leaf string, expected time.Duration, now time.Time) {
	if expected == 0 {
		s.queued = ""
		return
	}
	// A single leaf may have a queue because it pauses; two in turn, and none without a queue in between, show that the
	// service is short of slots.
	first := s.queued == "" || s.queued == leaf
	if s.queued == "" {
		s.queued = leaf
	}
	if first {
		return
	}
	for key, v := range s.seen {
		if now.Sub(v.at) >= kindWindow || v.target <= 0 {
			continue
		}
		allowed := max(v.target, standingFactor*s.mean()/2)
		if target := s.tightest(key.priority, now); target > 0 {
			allowed = min(allowed, max(target, standingFactor*s.mean()/2))
		}
		if expected <= allowed {
			continue
		}
		step := max(leastStep, float64(allowed)/float64(expected))
		if s.thinned == nil {
			s.thinned = make(map[kind]thinning)
		}
		s.thinned[key] = thinning{at: now, admitted: max(leastAdmitted, step*s.thinned[key].part(now)), expected: expected, allowed: allowed}
	}
}

// Expected returns the expected time until the answer of a further request for a portion of which spare services may be
// missing, 0 while there are free slots.
func (a *Admitter) Expected(services []string, spare int, pools Pools, now time.Time) time.Duration {
	each := make([]time.Duration, 0, len(services))
	for _, name := range services {
		each = append(each, a.serviceDecision(&Request{Remote: true}, name, pools(name), 0, true, false, now).Expected)
	}
	slices.Sort(each)
	if spare >= len(each) {
		return 0
	}
	return each[len(each)-1-spare]
}

// Gathered records the time that another host, which gathered a portion, expects for a further request. The source
// distinguishes portions.
func (a *Admitter) Gathered(services []string, source string, expected time.Duration, now time.Time) {
	for _, name := range services {
		a.service(name).observe(source, expected, now)
	}
}

// thinned decides whether a request is among those that are rejected because of reported queues.
func (a *Admitter) thinned(r *Request, pools Pools, random float64, now time.Time) (Decision, bool) {
	if len(r.Services) == 0 || a.shares.starved(r, now) {
		return Decision{}, false
	}
	parts := make([]float64, 0, len(r.Services))
	worst := thinning{}
	name, least := "", 1.0
	for _, n := range r.Services {
		v := a.service(n).thinned[r.kind()]
		p := v.part(now)
		if p < 1 {
			pool := pools(n)
			p = 1 - (1-p)*pool.Stale/float64(max(pool.Leaves, 1)) // Fresh reports are judged by evaluate.
		}
		parts = append(parts, p)
		if p < least {
			worst, name, least = v, n, p
		}
	}
	slices.Sort(parts)
	needed := r.Needed
	if needed <= 0 || needed > len(parts) {
		needed = len(parts)
	}
	admitted := parts[len(parts)-needed]
	if a.shares.greedy(r, now) {
		admitted *= admitted
	}
	if random < admitted {
		return Decision{}, false
	}
	return Decision{
		Verdict: Rejected, Limit: Slots, Service: name, Expected: worst.expected, Allowed: worst.allowed,
		RetryAfter: worst.expected - worst.allowed, InProgress: a.running,
	}, true
}
