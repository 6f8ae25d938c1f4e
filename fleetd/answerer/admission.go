package answerer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/admitter"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/eventer"
)

const (
	// admissionInterval is the time between two decisions on waiting requests if no request ends.
	admissionInterval = 5 * time.Millisecond
	// tickInterval is the interval at which the lateness of timers is measured, and dormantInterval that at which a host
	// without admission control looks whether it is in force.
	tickInterval    = 25 * time.Millisecond
	dormantInterval = time.Second
)

// admission is the admission control of this host. It is safe for concurrent use.
type admission struct {
	always   bool
	mu       sync.Mutex
	admitter *admitter.Admitter
	// waiting holds the channel of each waiting request, which is closed when it no longer waits.
	waiting map[*admitter.Ticket]chan struct{}
	stepped time.Time
}

// WithAdmission rejects requests that cannot be served in time before any leaf call. Admission control is in force while the
// configuration has tenants, or always.
func WithAdmission(always bool) Option {
	return func(a *Answerer) {
		a.admission = &admission{always: always, admitter: admitter.New(), waiting: make(map[*admitter.Ticket]chan struct{})}
	}
}

// inForce reports whether admission control applies to requests that see a view.
func (d *admission) inForce(view *follower.View) bool {
	return d != nil && view.Table != nil && (d.always || view.Table.Document().Authenticated)
}

// offer decides on a request. The channel is nil unless it waits.
func (d *admission) offer(r *admitter.Request, pools admitter.Pools, random float64, now time.Time) (*admitter.Ticket, admitter.Decision, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.admitter.Offer(r, pools, random, now)
	if t.Decision.Verdict != admitter.Waiting {
		return t, t.Decision, nil
	}
	decided := make(chan struct{})
	d.waiting[t] = decided
	return t, t.Decision, decided
}

// step decides on the waiting requests, unless that was done very recently and is not due.
func (d *admission) step(pools admitter.Pools, random float64, due bool, now time.Time) {
	if !due && now.Sub(d.stepped) < admissionInterval {
		return
	}
	d.stepped = now
	for _, t := range d.admitter.Step(pools, random, now) {
		close(d.waiting[t])
		delete(d.waiting, t)
	}
}

// decision returns the decision on a request.
func (d *admission) decision(t *admitter.Ticket) admitter.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.Decision
}

// enter decides whether the request may run now; it may wait briefly. It returns a reply if the request must not run.
// Otherwise leave must be called when the request has ended.
func (q *query) enter(ctx context.Context) *carrier.Reply {
	a, d := q.answerer, q.answerer.admission
	if !d.inForce(q.view) {
		return nil
	}
	now := a.clock()
	t, decision, decided := d.offer(q.admissionRequest(), a.pools(now), a.random(), now)
	if decided != nil {
		if reply := q.await(ctx, t, decision.Until, decided); reply != nil {
			return reply
		}
		decision = d.decision(t)
	}
	if decision.Verdict == admitter.Rejected {
		return q.rejected(&decision)
	}
	q.ticket = t
	return nil
}

// await waits until a request no longer waits for admission, which it does not after until. It returns a reply if the caller
// leaves or the host stops.
func (q *query) await(ctx context.Context, t *admitter.Ticket, until time.Time, decided <-chan struct{}) *carrier.Reply {
	a, d := q.answerer, q.answerer.admission
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(min(admissionInterval, max(0, until.Sub(a.clock()))))
		select {
		case <-decided:
			return nil
		case <-timer.C:
			now := a.clock()
			d.mu.Lock()
			d.step(a.pools(now), a.random(), !now.Before(until), now)
			d.mu.Unlock()
		case <-ctx.Done():
			now := a.clock()
			d.mu.Lock()
			if d.admitter.Cancel(t) {
				delete(d.waiting, t)
			}
			d.admitter.End(t, now)
			d.mu.Unlock()
			if errors.Is(context.Cause(ctx), drainer.ErrStopping) {
				return &carrier.Reply{Outcome: carrier.Refused, Reason: "this host stops before the request was admitted"}
			}
			return cancelledReply(ctx)
		}
	}
}

// markSent records that the request's calls are open, or are made by other hosts.
func (q *query) markSent() {
	if q.ticket == nil || q.ticketSent {
		return
	}
	q.ticketSent = true
	d := q.answerer.admission
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Sent(q.ticket)
}

// leave records that an admitted request or a portion has ended.
func (q *query) leave() {
	if q.ticket == nil {
		return
	}
	a, d, now := q.answerer, q.answerer.admission, q.answerer.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.End(q.ticket, now)
	if d.admitter.Waiting() > 0 {
		d.step(a.pools(now), a.random(), true, now)
	}
}

// enterPortion counts a portion for another host as load of this one.
func (q *query) enterPortion(now time.Time) {
	d := q.answerer.admission
	if !d.inForce(q.view) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	q.ticket, q.ticketSent = d.admitter.Begin(q.admissionRequest(), now), true
}

// admissionRequest describes the request to the admitter.
func (q *query) admissionRequest() *admitter.Request {
	r := &admitter.Request{
		Route: q.route.Name, Priority: q.priority(), Services: q.shards, Needed: len(q.shards), Arrived: q.request.Received, Deadline: q.deadline,
		Remote: q.answerer.shouldDivide(q.view, q.shards),
	}
	if q.tenant != nil {
		r.Tenant = q.tenant.Name
	}
	if q.route.Target > 0 {
		r.Target = r.Arrived.Add(q.route.Target)
	}
	if n := len(q.route.Gather); n > 0 {
		r.Needed = max(1, int(math.Ceil(q.route.MinCoverage*float64(n))))
	}
	return r
}

// pools returns a function that computes what this host knows of the leaves of a service, once for each service.
func (a *Answerer) pools(now time.Time) admitter.Pools {
	view := a.viewer.View()
	known := make(map[string]admitter.Pool)
	return func(service string) admitter.Pool {
		p, ok := known[service]
		if !ok {
			p = a.pool(view, service, now)
			known[service] = p
		}
		return p
	}
}

// pool returns what this host knows of the leaves of a service.
func (a *Answerer) pool(view *follower.View, service string, now time.Time) admitter.Pool {
	q := &query{answerer: a, view: view}
	p := admitter.Pool{Hosts: max(view.Entries, 1)}
	connections, limited := 0, false
	if s, ok := view.Table.Service(service); ok {
		limited = s.Connections > 0
	}
	for _, l := range view.Holders[service] {
		own, others, stale, callable := a.selector.Occupancy(l, now)
		if !callable {
			continue
		}
		if l.Slots <= 0 {
			return admitter.Pool{}
		}
		p.Add(l.Slots, own, others, stale)
		if l.Center == a.center {
			connections += localFactor * q.connectionShare(service)
		} else {
			connections += q.connectionShare(service)
		}
	}
	if limited {
		p.Connections = connections
	}
	return p
}

// observeService records how long a leaf's answer took.
func (a *Answerer) observeService(l *cataloguer.Leaf, took time.Duration, load *carrier.Load, now time.Time) {
	d := a.admission
	if d == nil {
		return
	}
	waiting, slots := 0, 0
	if load != nil {
		waiting, slots = load.Waiting, load.Slots
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Answered(l.Service, l.Name, took, waiting, slots, now)
}

// expectedForOthers returns the time until an answer that the requester of a portion must expect for a further request.
func (q *query) expectedForOthers() time.Duration {
	if q.ticket == nil {
		return 0
	}
	a, d, now := q.answerer, q.answerer.admission, q.answerer.clock()
	pools := a.pools(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admitter.Expected(q.shards, q.maxMissing, pools, now)
}

// observePortion records what another host expects of the leaves of a portion.
func (q *query) observePortion(p *Portion, parts *Parts) {
	d := q.answerer.admission
	if q.ticket == nil || len(parts.Stamps) == 0 && parts.Expected == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Gathered(p.Services, q.request.ID, parts.Expected, q.answerer.clock())
}

// rejected logs and counts a rejection and returns the reply.
func (q *query) rejected(d *admitter.Decision) *carrier.Reply {
	a, now := q.answerer, q.answerer.clock()
	tenant := ""
	if q.tenant != nil {
		tenant = q.tenant.Name
	}
	eventer.RequestRejected.Log(now, "id", q.request.ID, "route", q.route.Name, "tenant", tenant, "priority", q.priority(), "limit", d.Limit.String(),
		"service", d.Service, "expected", d.Expected, "allowed", d.Allowed, "running", d.InProgress, "retry", d.RetryAfter, "took", now.Sub(q.request.Received))
	a.metrics.rejected(d.Limit.String(), tenant, strconv.Itoa(q.priority()), q.route.Name)
	reason := fmt.Sprintf("not admitted: the expected time at the limit of %s exceeds the allowed one", d.Limit)
	return &carrier.Reply{Outcome: carrier.Refused, RetryAfter: d.RetryAfter, Reason: reason}
}

// WatchProcessor measures how late timers of this host run until ctx ends. Without admission control it does nothing.
func (a *Answerer) WatchProcessor(ctx context.Context) {
	if a.admission == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Time{} // The time at which the timer should fire, zero if its lateness does not count.
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := a.clock()
		if !a.admission.inForce(a.viewer.View()) {
			due = time.Time{}
			timer.Reset(dormantInterval)
			continue
		}
		if !due.IsZero() {
			a.admission.mu.Lock()
			a.admission.admitter.Tick(now.Sub(due), now)
			a.admission.mu.Unlock()
		}
		due = now.Add(tickInterval)
		timer.Reset(tickInterval)
	}
}
