package answerer

import (
	"context"
	"time"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/merger"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/router"
)

// Portion is a subset of the shards of a query, whose leaves are called by the host that received the request or by
// another entry host.
type Portion struct {
	Request *carrier.Request
	// Route is the name of the query's route, under which latencies are recorded, and RouteTarget is the route's target
	// latency.
	Route       string
	RouteTarget time.Duration
	// Key identifies the portion when the hosts that gather it are chosen.
	Key string
	// Services are the services that hold the shards.
	Services []string
	// Top is the number of records in the merged answer, and Attempts is the maximum number of leaves of a shard that
	// may receive the request.
	Top, Attempts int
	// MaxMissing is the number of shards that may be omitted when their leaves cannot be reached.
	MaxMissing int
	// SoftDeadline is when the parts received so far are sent to the requester; no part is of use after Deadline.
	SoftDeadline, Deadline time.Time
	// Requester is the host that received the caller's request.
	Requester string
	// Version is the version of the configuration that the services belong to.
	Version uint64
	// KeyOrdinal is the position of the request's key among the keys of its tenant in that version, 0 if the request needs
	// no key.
	KeyOrdinal int
	// Priority is the rank of the request; 0 is the highest.
	Priority int
}

// Parts are the results received so far for a portion.
type Parts struct {
	// Stamps are the signatures of the parts, and Records their merged top records.
	Stamps  []string
	Records []byte
	// Final is true when no more parts will follow. NotRun is then true if it is certain that no leaf has executed the
	// request or ever will.
	Final, NotRun bool
	// LostConnections is the number of leaf calls whose connections were lost after the request was sent. It is set
	// together with Final.
	LostConnections int
	// Expected is the expected time until the answer of a further request for the portion, 0 while the leaves have free slots.
	Expected time.Duration
}

// Gather calls the leaves of a portion. It emits the parts received by the portion's soft deadline, emits again
// whenever more arrive, and emits the final parts before it returns.
func (a *Answerer) Gather(ctx context.Context, p *Portion, emit func(*Parts)) {
	view, now := a.viewer.View(), a.clock()
	q := &query{
		answerer: a, request: p.Request, view: view, shards: p.Services, deadline: p.Deadline, maxMissing: p.MaxMissing, portionKey: p.Key,
		route:        &router.Route{Name: p.Route, Idempotent: true, Target: p.RouteTarget, Attempts: p.Attempts, Top: p.Top, Gather: p.Services, Priority: p.Priority},
		softDeadline: p.SoftDeadline, emit: emit, emitted: noneEmitted,
	}
	if view.Table == nil || !p.Deadline.After(now) {
		emit(&Parts{Final: true, NotRun: true})
		return
	}
	q.adoptTenant(p)
	q.enterPortion(now)
	defer q.leave()
	for _, name := range q.shards {
		a.budget.Request(name, now)
	}
	reply := q.run(ctx)
	parts := q.parts()
	parts.Final, parts.NotRun, parts.LostConnections = true, q.notRun(), q.lostConnections
	emit(parts)
	a.metrics.portions.Inc(1)
	eventer.PortionEnded.Log(a.clock(), "id", p.Request.ID, "route", p.Route, "asker", p.Requester, "services", len(p.Services),
		"missing", len(p.Services)-len(parts.Stamps), "reason", missingReason(reply), "took", a.clock().Sub(now), "version", p.Version,
		"known", view.Version(), "stale", view.Age(now), "calls", q.calls, "hedges", q.hedges, "retries", q.retries)
}

// missingReason returns the reason why the first of the missing shards is missing, or an empty string.
func missingReason(r *planner.Reply) string {
	if len(r.Missing) == 0 {
		return ""
	}
	return r.Missing[0].Reason.String()
}

// parts merges the answers received so far.
func (q *query) parts() *Parts {
	out := &Parts{Stamps: make([]string, 0, len(q.answers))}
	bodies := make([][]byte, 0, len(q.answers))
	for _, answer := range q.answers {
		out.Stamps = append(out.Stamps, answer.Stamp)
		bodies = append(bodies, answer.Body)
	}
	out.Records = merger.Merge(bodies, q.route.Top)
	out.Expected = q.expectedForOthers()
	q.emitted = len(q.answers)
	return out
}

// noneEmitted is the number of emitted parts before the first message. That message is sent at the soft deadline even
// without parts, to show the requester that this host is alive.
const noneEmitted = -1

// emitProgress emits the received parts if the soft deadline has passed and more have arrived since the last message.
func (q *query) emitProgress(now time.Time) {
	if q.emit != nil && !now.Before(q.softDeadline) && len(q.answers) > q.emitted {
		q.emit(q.parts())
	}
}

// softDeadlineTimer returns a channel that fires at the soft deadline of a portion. It never fires if the query does
// not gather a portion for a requester.
func (q *query) softDeadlineTimer() (<-chan time.Time, func() bool) {
	if q.emit == nil {
		return nil, func() bool { return false }
	}
	t := time.NewTimer(q.softDeadline.Sub(q.answerer.clock()))
	return t.C, t.Stop
}
