package admitter

import (
	"math"
	"time"
)

const (
	// ratioHalflife is the time in which the counts of offered and admitted requests halve: long enough for a tenant with a
	// request every 30 s. costHalflife is that of the work that was admitted: short enough to follow a burst.
	ratioHalflife = 20 * time.Second
	costHalflife  = 3 * time.Second
	// starvedRatio is the part of the ratio of admitted to offered requests of the whole host below which a route or a
	// tenant counts as starved. The users' bound is a quarter; the rest is for error of counts that cover one host only.
	starvedRatio = 0.4
	// minOffered is the number of offered requests below which nothing is starved, and negligible the count below which an
	// entry is discarded.
	minOffered = 1.2
	negligible = 0.01
	// greedyFactor is the multiple of a fair share from which a tenant uses too much. It keeps tenants of equal traffic from
	// being restricted in turns.
	greedyFactor = 1.25
	// activeShare is the part of a fair share from which a tenant counts as one of those that share.
	activeShare = 0.05
)

// tally holds decaying counts.
type tally struct {
	at                    time.Time
	offered, served, cost float64
}

func (c *tally) decay(now time.Time) {
	age := float64(now.Sub(c.at))
	if age <= 0 {
		return
	}
	ratio := math.Exp2(-age / float64(ratioHalflife))
	c.offered, c.served, c.at = c.offered*ratio, c.served*ratio, now
	c.cost *= math.Exp2(-age / float64(costHalflife))
}

// shares counts what was offered and admitted, for each kind of request and each tenant.
type shares struct {
	all     tally
	routes  map[string]*tally
	tenants map[string]*tally
	pruned  time.Time
}

func newShares() *shares {
	return &shares{routes: make(map[string]*tally), tenants: make(map[string]*tally)}
}

// counts returns the counts that a request belongs to, as of now.
func (s *shares) counts(r *Request, now time.Time) [3]*tally {
	out := [3]*tally{&s.all, entry(s.routes, r.Route, now), entry(s.tenants, r.Tenant, now)}
	for _, c := range out {
		c.decay(now)
	}
	return out
}

func entry(m map[string]*tally, key string, now time.Time) *tally {
	c, ok := m[key]
	if !ok {
		c = &tally{at: now}
		m[key] = c
	}
	return c
}

func (s *shares) offer(r *Request, now time.Time) {
	for _, c := range s.counts(r, now) {
		c.offered++
	}
	if now.Sub(s.pruned) < ratioHalflife {
		return
	}
	s.pruned = now
	for _, m := range []map[string]*tally{s.routes, s.tenants} {
		for key, c := range m {
			if c.decay(now); c.offered < negligible {
				delete(m, key)
			}
		}
	}
}

func (s *shares) serve(r *Request, cost time.Duration, now time.Time) {
	for _, c := range s.counts(r, now) {
		c.served++
		c.cost += cost.Seconds()
	}
}

// starved reports whether the route or the tenant of a request is admitted much less often than all requests.
func (s *shares) starved(r *Request, now time.Time) bool {
	counts := s.counts(r, now)
	if s.all.offered <= 0 {
		return false
	}
	least := starvedRatio * s.all.served / s.all.offered
	for _, c := range counts[1:] {
		if c.offered >= minOffered && c.served < least*c.offered {
			return true
		}
	}
	return false
}

// usage returns the work that the tenant of a request was recently admitted for.
func (s *shares) usage(r *Request, now time.Time) float64 {
	return s.counts(r, now)[2].cost
}

// greedy reports whether the tenant of a request has used more than its fair share.
func (s *shares) greedy(r *Request, now time.Time) bool {
	mine := s.usage(r, now)
	active := 0
	least := activeShare * s.all.cost / float64(max(len(s.tenants), 1))
	for _, c := range s.tenants {
		if c.decay(now); c.cost > least {
			active++
		}
	}
	return active > 1 && mine > greedyFactor*s.all.cost/float64(active)
}
