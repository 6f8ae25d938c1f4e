// Package admitter decides for each request of one entry host whether it runs now, waits briefly or is rejected, before
// anything is sent to a leaf. It has no clock and performs no I/O.
//
// Each bottleneck has an expected time until the answer, and each request an allowed one, which lasts until the shortest
// deadline of the routes that use the bottleneck. It is shorter for a request that would delay a higher priority beyond its
// target, for a tenant that uses more than its fair share, and while a queue makes all answers late. None of these three
// applies to a route or a tenant that is served much less often than others, so that no one is starved.
package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// waitDivisor is the part of the target for which a request waits at most before it is rejected, so that its caller can
	// still be served elsewhere. With the interval of Step it is below a quarter. maxWait limits it for long targets.
	waitDivisor = 5
	maxWait     = 250 * time.Millisecond
	// maxWaiting is the number of waiting requests from which further ones are rejected.
	maxWaiting = 64
	// deadlineMargin is the part of the time until the deadline that an expected answer may use at most: estimates are
	// uncertain, and the answer must be transferred. It is multiplied by trustLoss for each answer that is too late, and
	// trustGain is added for each other one, so that about 5% are too late in a lasting overload. minTrust is its lower limit.
	deadlineMargin = 0.9
	trustLoss      = 0.95
	trustGain      = 0.0025
	minTrust       = 0.3
	// maxBias limits the factor by which expected times are corrected. A wide query takes as long as its slowest leaves, which
	// the mean of a service does not show.
	maxBias = 3
	// kindWindow is how long a kind of request counts at a bottleneck after the last of them was seen there.
	kindWindow = 2 * time.Second
	// minRetry and maxRetry bound the time after which a rejected caller is told to return.
	minRetry = 20 * time.Millisecond
	maxRetry = 2 * time.Second
	// sharedRoom is the part of the host's limit that is left to requests with a restricted allowance.
	sharedRoom = 0.75
)

// Limit is the bottleneck that caused a rejection.
type Limit int

// Limits.
const (
	// None means that no limit was reached.
	None Limit = iota
	// Slots means that the leaves' slots are used by earlier requests.
	Slots
	// Connections means that this host's connections to the leaves are in use.
	Connections
	// Processor means that the processor of this host does not keep up with its requests.
	Processor
	// Queue means that too many requests wait on this host.
	Queue
)

// String returns the name of the limit for logs and metrics.
func (l Limit) String() string {
	return [...]string{"none", "slots", "connections", "processor", "queue"}[l]
}

// Pool is what is known of the leaves of a service that may be called now.
type Pool struct {
	// Slots is the sum of their slots, 0 if it is not known of each leaf. Nothing is then assumed about them.
	Slots int
	// Used is the expected number of slots in use, and Queued that of the calls that wait on the leaves, of all hosts.
	Used, Queued float64
	// Own is the number of open calls of this host, which are included in Used and Queued.
	Own int
	// Connections is the number of connections to them that this host may use, 0 if unknown.
	Connections int
	// Leaves is their number, and Stale the number of those without a fresh report; one whose report is about to expire counts
	// in part.
	Leaves int
	Stale  float64
	// Hosts is the number of hosts that share the leaves.
	Hosts int
}

// Add adds a leaf to the pool, given its slots, this host's open calls to it, the expected number of other calls on it, and
// the part of the latter that was lost because of its age, from 0 to 1.
func (p *Pool) Add(slots, own int, others, stale float64) {
	p.Leaves++
	p.Stale += stale
	calls := float64(own) + others
	used := min(calls, float64(slots))
	p.Slots += slots
	p.Own += own
	p.Used += used
	p.Queued += calls - used
}

// Pools returns the pool of a service.
type Pools func(service string) Pool

// Request is a request to be decided on.
type Request struct {
	Route string
	// Tenant is empty without tenants.
	Tenant string
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Services are called once each; Needed is the number of them that an answer requires.
	Services []string
	Needed   int
	// Remote means that other hosts call the leaves, so that this host's connections do not limit the request.
	Remote bool
	// Arrived is when the request arrived, Target when its answer loses value (zero if there is no target), and Deadline
	// when its caller stops waiting.
	Arrived, Target, Deadline time.Time
}

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	// Admitted means that the request runs now.
	Admitted Verdict = iota + 1
	// Waiting means that the request waits; Step decides on it later.
	Waiting
	// Rejected means that the request must not run.
	Rejected
)

// Decision is the verdict on a request and its reason.
type Decision struct {
	Verdict Verdict
	// Until is when a waiting request is rejected at the latest.
	Until time.Time
	// RetryAfter is when there will be room for a rejected request, from now.
	RetryAfter time.Duration
	// Limit is the bottleneck of a waiting or rejected request, and Service the service concerned, if any.
	Limit   Limit
	Service string
	// Expected is the expected time until the answer at that bottleneck, and Allowed the longest admissible one.
	Expected, Allowed time.Duration
	// InProgress is the number of requests in progress on this host.
	InProgress int
}

// Ticket is a request that was offered. Its Decision changes only in Offer and Step.
type Ticket struct {
	Decision Decision

	request  *Request
	sequence uint64
	admitted time.Time
	// expected is the time until the answer that was expected at admission without the bias, 0 if nothing was in the way.
	expected time.Duration
	unsent   bool
	portion  bool
}

// Admitter holds the state of one host. It is not safe for concurrent use.
type Admitter struct {
	sequence uint64
	waiting  []*Ticket
	// running counts the requests and portions in progress, and unsent the admitted requests for each service whose calls are
	// not open yet.
	running  int
	unsent   map[string]int
	services map[string]*service
	shares   *shares
	host     host
	// trust is the part of the time until the deadline that expected answers of a kind may use, learned from those that
	// came too late.
	trust map[kind]float64
	// bias is the smoothed ratio of the actual time until the answer to the expected one.
	bias map[kind]float64
}

// New returns an Admitter without requests in progress.
func New() *Admitter {
	return &Admitter{unsent: make(map[string]int), services: make(map[string]*service), shares: newShares(), trust: make(map[kind]float64), bias: make(map[kind]float64)}
}

// Offer decides on a request that has arrived. Random is a random number in the range [0, 1). A waiting request must be
// ended by Cancel if its caller leaves, and an admitted one by End.
func (a *Admitter) Offer(r *Request, pools Pools, random float64, now time.Time) *Ticket {
	a.sequence++
	t := &Ticket{request: r, sequence: a.sequence}
	a.shares.offer(r, now)
	for _, name := range r.Services {
		a.service(name).see(r, now)
	}
	if d, ok := a.thinned(r, pools, random, now); ok {
		t.Decision = d
		a.reject(t, random, now)
		return t
	}
	taken := a.reservations(r, now)
	t.Decision = a.evaluate(t, pools, taken, now)
	if t.Decision.Verdict == Waiting && len(a.waiting) >= maxWaiting {
		t.Decision.Verdict, t.Decision.Limit = Rejected, Queue
	}
	switch t.Decision.Verdict {
	case Admitted:
		a.start(t, now)
	case Waiting:
		a.waiting = append(a.waiting, t)
	case Rejected:
		a.reject(t, random, now)
	}
	return t
}

// reservations returns the calls that waiting requests will make before a new request, by service: those that precede it
// in order. A wide request thus keeps its place at each service until the last of them has room.
func (a *Admitter) reservations(r *Request, now time.Time) map[string]int {
	if len(a.waiting) == 0 {
		return nil
	}
	taken := make(map[string]int)
	mine := a.rank(&Ticket{request: r, sequence: a.sequence}, now)
	for _, t := range a.waiting {
		if a.rank(t, now).compare(mine) < 0 {
			reserve(taken, t.request)
		}
	}
	return taken
}

func reserve(taken map[string]int, r *Request) {
	taken[""]++
	for _, name := range r.Services {
		taken[name]++
	}
}

// Step decides on the waiting requests again and returns those that no longer wait. It must be called when a request has
// ended and every few milliseconds while any waits.
func (a *Admitter) Step(pools Pools, random float64, now time.Time) []*Ticket {
	if len(a.waiting) == 0 {
		return nil
	}
	slices.SortFunc(a.waiting, func(x, y *Ticket) int { return a.rank(x, now).compare(a.rank(y, now)) })
	var decided []*Ticket
	rest := a.waiting[:0]
	taken := make(map[string]int)
	for _, t := range a.waiting {
		t.Decision = a.evaluate(t, pools, taken, now)
		switch t.Decision.Verdict {
		case Admitted:
			a.start(t, now)
		case Waiting:
			reserve(taken, t.request)
			rest = append(rest, t)
			continue
		case Rejected:
			a.reject(t, random, now)
		}
		decided = append(decided, t)
	}
	clear(a.waiting[len(rest):])
	a.waiting = rest
	return decided
}

// Waiting returns the number of waiting requests.
func (a *Admitter) Waiting() int { return len(a.waiting) }

// Running returns the number of requests and portions in progress.
func (a *Admitter) Running() int { return a.running }

// Cancel removes a waiting request whose caller has left. It reports false if the request does not wait any more.
func (a *Admitter) Cancel(t *Ticket) bool {
	i := slices.Index(a.waiting, t)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// Begin records a portion that is gathered for another host. It is not decided on, because its query was admitted there,
// but it is load of this host. It must be ended by End.
func (a *Admitter) Begin(r *Request, now time.Time) *Ticket {
	t := &Ticket{request: r, Decision: Decision{Verdict: Admitted}, portion: true, admitted: now}
	for _, name := range r.Services {
		a.service(name).see(r, now)
	}
	a.running++
	return t
}

func (a *Admitter) start(t *Ticket, now time.Time) {
	t.admitted, t.unsent = now, true
	a.running++
	cost := time.Millisecond
	for _, name := range t.request.Services {
		a.unsent[name]++
		cost += a.service(name).mean()
	}
	a.shares.serve(t.request, cost, now)
}

// Sent records that the calls of an admitted request are open, so that the pools include them, or are made by other hosts.
func (a *Admitter) Sent(t *Ticket) {
	if !t.unsent {
		return
	}
	t.unsent = false
	for _, name := range t.request.Services {
		if a.unsent[name]--; a.unsent[name] <= 0 {
			delete(a.unsent, name)
		}
	}
}

// End records that an admitted request or a portion has ended.
func (a *Admitter) End(t *Ticket, now time.Time) {
	if t.Decision.Verdict != Admitted || t.admitted.IsZero() {
		return
	}
	a.Sent(t)
	a.host.ended(now.Sub(t.admitted))
	if !t.portion {
		a.learn(t, now)
	}
	t.admitted = time.Time{}
	a.running--
}

// learn adapts the trust in expected times to an answer or the lack of one.
func (a *Admitter) learn(t *Ticket, now time.Time) {
	r, key := t.request, t.request.kind()
	if t.expected > 0 {
		bias := a.biasOf(key)
		bias += smoothing * (float64(now.Sub(t.admitted))/float64(t.expected) - bias)
		a.bias[key] = min(max(bias, 1), maxBias)
	}
	trust := a.trusted(key)
	if now.Before(r.Deadline) {
		trust = min(deadlineMargin, trust+trustGain)
	} else {
		trust = max(minTrust, trust*trustLoss)
	}
	a.trust[key] = trust
}

func (a *Admitter) biasOf(key kind) float64 {
	return max(a.bias[key], 1)
}

func (a *Admitter) trusted(key kind) float64 {
	if trust, ok := a.trust[key]; ok {
		return trust
	}
	return deadlineMargin
}

// Answered records how long a call to a leaf of a service took, with the calls that waited on the leaf when it answered, and
// its slots, 0 if it did not report them.
func (a *Admitter) Answered(name, leaf string, took time.Duration, waiting, slots int, now time.Time) {
	s := a.service(name)
	s.answered(took, waiting, slots)
	if waiting <= 0 || slots <= 0 {
		s.observe(leaf, 0, now)
		return
	}
	s.observe(leaf, time.Duration(float64(s.mean())*(1+float64(waiting+1)/float64(slots))), now)
}

func (a *Admitter) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{}
		a.services[name] = s
	}
	return s
}

// evaluate decides on a request. Taken holds the calls that requests before it will make, by service.
func (a *Admitter) evaluate(t *Ticket, pools Pools, taken map[string]int, now time.Time) Decision {
	r := t.request
	until := r.Arrived.Add(r.patience())
	favoured := a.shares.starved(r, now)
	greedy := !favoured && a.shares.greedy(r, now)
	d, expected := a.worst(r, pools, taken, favoured, greedy, now)
	d.InProgress = a.running
	d.Until = until
	excess := d.Expected - d.Allowed
	switch {
	case excess <= 0:
		t.expected = time.Duration(float64(expected) / a.biasOf(r.kind()))
		return Decision{Verdict: Admitted, InProgress: a.running}
	case !now.Before(until) || now.Add(excess).After(until):
		d.Verdict = Rejected
		d.RetryAfter = excess
	default:
		d.Verdict = Waiting
	}
	return d
}

// patience returns how long a request may wait.
func (r *Request) patience() time.Duration {
	end := r.Target
	if end.IsZero() {
		end = r.Deadline
	}
	return min(end.Sub(r.Arrived)/waitDivisor, maxWait)
}

// worst returns the figures of the bottleneck at which a request exceeds its allowance most, and the expected time until
// the answer of the leaves.
func (a *Admitter) worst(r *Request, pools Pools, taken map[string]int, favoured, greedy bool, now time.Time) (Decision, time.Duration) {
	out := a.hostDecision(r, taken[""], favoured, greedy, now)
	needed := r.Needed
	if needed <= 0 || needed > len(r.Services) {
		needed = len(r.Services)
	}
	if needed == 0 {
		return out, 0
	}
	each := make([]Decision, 0, len(r.Services))
	for _, name := range r.Services {
		each = append(each, a.serviceDecision(r, name, pools(name), taken[name], favoured, greedy, now))
	}
	slices.SortFunc(each, func(x, y Decision) int { return cmp.Compare(x.Expected-x.Allowed, y.Expected-y.Allowed) })
	last := each[needed-1]
	if last.Expected-last.Allowed > out.Expected-out.Allowed {
		return last, last.Expected
	}
	return out, last.Expected
}

// rank is the order of waiting requests: what is starved, priority, fair share, what is due first, arrival.
type rank struct {
	starved  bool
	priority int
	usage    float64
	due      time.Time
	sequence uint64
}

func (a *Admitter) rank(t *Ticket, now time.Time) rank {
	r := t.request
	due := r.Target
	if !due.After(now) {
		due = r.Deadline // It is late already; those that can still be in time come first.
	}
	return rank{starved: a.shares.starved(r, now), priority: r.Priority, usage: a.shares.usage(r, now), due: due, sequence: t.sequence}
}

func (x rank) compare(y rank) int {
	if x.starved != y.starved {
		if x.starved {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.usage, y.usage), x.due.Compare(y.due), cmp.Compare(x.sequence, y.sequence))
}
