package admitter

import "time"

const (
	// smoothing is the weight of a new sample, and minSamples the number below which nothing is concluded from a mean.
	smoothing  = 0.125
	minSamples = 8
	// servableFactor is the number of service times that a deadline must have for its kind of request to count.
	servableFactor = 2
	// standingTime is how long all requests of a kind must be late until a queue counts as standing. Requests then wait for
	// no longer than their target, or standingFactor/2 service times, which keep the slots in use.
	standingTime   = time.Second
	standingFactor = 3
	// lateTick is the lateness from which a timer of this host counts as late, and lateTime the time for which all must be
	// late before the processor counts as overloaded: a host with a fraction of a core is late now and then.
	lateTick     = 20 * time.Millisecond
	lateTime     = 300 * time.Millisecond
	minLateTicks = 3
	// limitDecrease multiplies the limit on requests in progress for each lateTime of overload; limitIncrease is added for
	// each timely tick. minLimit is the least limit, and the limit ends once it exceeds the requests in progress freeFactor
	// times.
	limitDecrease = 0.8
	limitIncrease = 1
	minLimit      = 4
	freeFactor    = 2
)

// kind is a route with the priority of its requests.
type kind struct {
	route    string
	priority int
}

func (r *Request) kind() kind { return kind{route: r.Route, priority: r.Priority} }

// sighting is when a request of a kind was last seen, how long such a request may take to be in time, and how long its
// caller waits.
type sighting struct {
	at               time.Time
	target, deadline time.Duration
	// lateSince is when the expected time until the answer exceeded the target and had not been below half of it since; zero
	// if it does not exceed it.
	lateSince time.Time
}

// service is what was measured of the calls to a service.
type service struct {
	samples int
	average float64
	// seen holds the latest sighting of each kind of request.
	seen map[kind]sighting
	// queued is the leaf that reported a queue first, empty after a report without one.
	queued string
	// thinned holds the part of each kind that is admitted.
	thinned map[kind]thinning
	// slots and hosts are the latest known numbers of slots and of hosts that share them.
	slots, hosts int
	// promised is the earliest time that the next rejected caller is told to return at.
	promised time.Time
}

// answered records the duration of a call. The time that it spent in the leaf's queue is removed by the queue's length at
// its end, because waiting is estimated separately.
func (s *service) answered(took time.Duration, waiting, slots int) {
	if slots > 0 && waiting > 0 {
		took = time.Duration(float64(took) / (1 + float64(waiting)/float64(slots)))
	}
	s.samples++
	if s.samples == 1 {
		s.average = float64(took)
		return
	}
	s.average += smoothing * (float64(took) - s.average)
}

// mean returns the measured service time, 0 if there are too few measurements.
func (s *service) mean() time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return time.Duration(s.average)
}

func (s *service) see(r *Request, now time.Time) {
	if s.seen == nil {
		s.seen = make(map[kind]sighting)
	}
	key := r.kind()
	next := sighting{at: now, deadline: r.Deadline.Sub(r.Arrived)}
	if !r.Target.IsZero() {
		next.target = r.Target.Sub(r.Arrived)
	}
	old, ok := s.seen[key]
	if ok = ok && now.Sub(old.at) < kindWindow; ok {
		next.lateSince = old.lateSince
	}
	// A single caller who waits only briefly does not shorten the deadline of its kind.
	if ok && next.deadline < old.deadline {
		next.deadline = old.deadline - time.Duration(smoothing*float64(old.deadline-next.deadline))
	}
	s.seen[key] = next
}

// standing records the expected time until the answer of a request and reports whether requests of its kind have been
// late for standingTime. The queue is then longer than a burst explains: it makes all answers late without more of them.
func (s *service) standing(r *Request, expected time.Duration, now time.Time) bool {
	key := r.kind()
	v, ok := s.seen[key]
	if !ok || v.target <= 0 {
		return false
	}
	switch {
	case expected > v.target && v.lateSince.IsZero():
		v.lateSince = now
	case expected < v.target/2:
		v.lateSince = time.Time{}
	}
	s.seen[key] = v
	return !v.lateSince.IsZero() && now.Sub(v.lateSince) >= standingTime
}

// tightest returns the shortest target of the higher priorities that were seen recently, 0 if there are none.
func (s *service) tightest(priority int, now time.Time) time.Duration {
	var out time.Duration
	for k, v := range s.seen {
		if k.priority < priority && now.Sub(v.at) < kindWindow && v.target > 0 && (out == 0 || v.target < out) {
			out = v.target
		}
	}
	return out
}

// shortestDeadline returns the shortest deadline of the kinds of requests that were seen recently, 0 if there are none.
// Kinds that can hardly be served in time are left out.
func (s *service) shortestDeadline(now time.Time) time.Duration {
	var out time.Duration
	for _, v := range s.seen {
		if now.Sub(v.at) < kindWindow && v.deadline > servableFactor*s.mean() && (out == 0 || v.deadline < out) {
			out = v.deadline
		}
	}
	return out
}

// serviceDecision returns the expected and the allowed time until the answer of a service.
func (a *Admitter) serviceDecision(r *Request, name string, p Pool, taken int, favoured, greedy bool, now time.Time) Decision {
	s := a.service(name)
	s.slots, s.hosts = p.Slots, p.Hosts
	mean := s.mean()
	out := Decision{Limit: Slots, Service: name, Allowed: a.allowance(r, r.Deadline.Sub(now), now)}
	if mean <= 0 || p.Slots <= 0 {
		return out
	}
	unseen := a.unsent[name] + taken // Calls that are not among those of the pool yet.
	if own := p.Own + unseen + 1; !r.Remote && p.Connections > 0 && own > p.Connections {
		// Calls cannot queue for a connection, so the request waits on this host until there is one.
		out.Limit, out.Allowed = Connections, 0
		out.Expected = time.Duration(float64(mean) * float64(own-p.Connections) / float64(p.Connections))
		return out
	}
	short := p.Used + float64(unseen) + 1 - float64(p.Slots)
	if short <= 0 {
		s.standing(r, 0, now)
		return out // There is a free slot: the service time alone is no reason to reject.
	}
	out.Expected = time.Duration(float64(mean) * (1 + (short+p.Queued)/float64(p.Slots)) * a.biasOf(r.kind()))
	standing := s.standing(r, out.Expected, now)
	if shortest := s.shortestDeadline(now); shortest > 0 {
		out.Allowed = min(out.Allowed, a.allowance(r, shortest, now))
	}
	if favoured {
		return out
	}
	if standing {
		out.Allowed = min(out.Allowed, max(r.Target.Sub(now), standingFactor*mean/2))
	}
	if greedy && !r.Target.IsZero() {
		out.Allowed = min(out.Allowed, (mean+r.Target.Sub(now))/2)
	}
	if target := s.tightest(r.Priority, now); target > 0 {
		out.Allowed = min(out.Allowed, target)
	}
	return out
}

// allowance returns the part of the time until a deadline that an expected answer may use.
func (a *Admitter) allowance(r *Request, left time.Duration, now time.Time) time.Duration {
	trusted := time.Duration(a.trusted(r.kind()) * float64(left))
	if r.Target.IsZero() {
		return trusted
	}
	return min(left, max(trusted, r.Target.Sub(now)))
}

// host is the state of this host's processor.
type host struct {
	lateTicks int
	lateSince time.Time
	decreased time.Time
	// limit is the number of requests that may be in progress; 0 means that there is no limit.
	limit    float64
	samples  int
	duration float64
}

func (h *host) ended(took time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.duration = float64(took)
		return
	}
	h.duration += smoothing * (float64(took) - h.duration)
}

// Tick records how late a periodic timer of this host ran. It must be called several times in lateTime.
func (a *Admitter) Tick(late time.Duration, now time.Time) {
	h := &a.host
	if late < lateTick {
		h.lateTicks = 0
		if h.limit == 0 {
			return
		}
		h.limit += limitIncrease
		if h.limit > float64(max(minLimit, freeFactor*(a.running+len(a.waiting)))) {
			h.limit = 0
		}
		return
	}
	if h.lateTicks++; h.lateTicks == 1 {
		h.lateSince = now
	}
	if h.lateTicks < minLateTicks || now.Sub(h.lateSince) < lateTime || now.Sub(h.decreased) < lateTime {
		return
	}
	h.decreased = now
	present := float64(a.running)
	if h.limit > 0 {
		present = min(present, h.limit)
	}
	h.limit = max(minLimit, limitDecrease*present)
}

// HostLimit returns the number of requests that may be in progress on this host, 0 if there is no limit.
func (a *Admitter) HostLimit() int { return int(a.host.limit) }

// hostDecision returns the expected time until this host has room for a request. None is allowed.
func (a *Admitter) hostDecision(r *Request, taken int, favoured, greedy bool, now time.Time) Decision {
	out := Decision{Limit: Processor}
	if a.host.limit == 0 || a.host.samples < minSamples {
		return out
	}
	limit := a.host.limit
	if !favoured {
		if greedy {
			limit *= sharedRoom
		}
		if a.higherSeen(r, now) {
			limit *= sharedRoom
		}
	}
	if excess := float64(a.running+taken+1) - limit; excess > 0 {
		out.Expected = time.Duration(a.host.duration * excess / a.host.limit)
	}
	return out
}

// higherSeen reports whether requests of a higher priority were seen recently.
func (a *Admitter) higherSeen(r *Request, now time.Time) bool {
	for _, s := range a.services {
		if s.tightest(r.Priority, now) > 0 {
			return true
		}
	}
	return false
}

// reject sets the time after which the caller should return: when there will be room, after those who were told to return
// before, and within what is left of the deadline.
func (a *Admitter) reject(t *Ticket, random float64, now time.Time) {
	d, r := &t.Decision, t.request
	s := a.service(d.Service)
	at := now.Add(max(d.RetryAfter, minRetry))
	if s.promised.After(at) {
		at = s.promised
	}
	s.promised = at.Add(s.interval(d.Limit, a))
	wait := at.Sub(now)
	longest := max(0, min(maxRetry, r.Deadline.Sub(now)))
	if wait > longest {
		// Spread over the second half, so that callers beyond the bound do not return together.
		wait = time.Duration(float64(longest) * (1 + random) / 2)
		if s.promised.Sub(now) > maxRetry {
			s.promised = now.Add(maxRetry)
		}
	}
	d.RetryAfter = wait
}

// interval returns the time between the places that two rejected callers are given.
func (s *service) interval(limit Limit, a *Admitter) time.Duration {
	if limit == Processor || s.mean() <= 0 {
		return time.Duration(a.host.duration / max(a.host.limit, 1))
	}
	return s.mean() * time.Duration(max(s.hosts, 1)) / time.Duration(max(s.slots, 1))
}
