package answerer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/merger"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/selector"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

const (
	// idleTime is how long an unused connection is kept. scarceIdleTime applies to a leaf of another data centre that
	// accepts too few connections for all hosts.
	idleTime       = 10 * time.Second
	scarceIdleTime = 3 * time.Second
	// maxBody is the maximum size of a leaf's answer body in bytes. A part of a gathered answer may hold
	// partRecordFactor times as many records as the merged answer, and at least minPartBody bytes.
	maxBody          = 8 << 20
	partRecordFactor = 64
	minPartBody      = 64 << 10
	// minShare is the number of connections to a leaf that a host may always open.
	minShare = 2
	// maxShare limits a host's connections to a leaf, because the host may not know all other hosts yet, as after a loss
	// of all hosts.
	maxShare = 6
	// gatherShareNumerator/gatherShareDenominator of a leaf's connections are divided among the hosts that gather its
	// portion; the rest is for hosts that replace them.
	gatherShareNumerator, gatherShareDenominator = 3, 4
	// lingerTime is how long a superseded call may take to finish: longer than most pauses of leaves, and well below the half
	// second after which no leaf should work for a caller who has left.
	lingerTime = 250 * time.Millisecond
	// localFactor multiplies the share for leaves of the same data centre, which hosts of other data centres rarely
	// call.
	localFactor = 2
)

// Reasons why a call ended.
const (
	reasonNone        = callerv1.Reason_REASON_UNSPECIFIED
	reasonOverloaded  = callerv1.Reason_REASON_OVERLOADED
	reasonLost        = callerv1.Reason_REASON_CONNECTION_LOST
	reasonServerError = callerv1.Reason_REASON_SERVER_ERROR
	reasonDeadline    = callerv1.Reason_REASON_DEADLINE
	reasonCoverage    = callerv1.Reason_REASON_COVERAGE
	reasonNoReplica   = callerv1.Reason_REASON_NO_REPLICA
)

// send starts a call to a leaf.
func (q *query) send(ctx context.Context, c planner.Call) {
	a := q.answerer
	q.calls++
	switch c.Kind {
	case planner.Hedge:
		q.hedges++
	case planner.Retry, planner.Resend:
		q.retries++
	case planner.Primary:
	}
	a.metrics.call(c.Kind)
	choice := q.choice(c.Shard)
	ctx, cancel := context.WithCancelCause(ctx)
	running := &leafCall{cancel: cancel, planned: c, ticket: a.selector.Begin(c.Target.Leaf, &choice, c.Sent)}
	q.running[c.Attempt] = running
	q.sent = append(q.sent, running)
	q.markSent()
	running.outgoing = &carrier.Call{
		Request: q.request, Leaf: c.Target.Leaf.Name, Address: c.Target.Leaf.Address, Deadline: c.Sent.Add(c.Timeout),
		MaxBody: q.bodyLimit(), NewConnection: !q.route.Idempotent, IdleTimeout: idleTime, MaxConnections: localFactor * q.connectionShare(c.Target.Leaf.Service),
	}
	if c.Target.Leaf.Center != a.center {
		running.outgoing.MaxConnections = q.connectionShare(c.Target.Leaf.Service)
		if q.connectionsScarce(c.Target.Leaf.Service) {
			running.outgoing.IdleTimeout = scarceIdleTime
		}
	}
	if q.route.Idempotent && a.selector.LetsFinish(c.Target.Leaf, c.Sent) {
		running.outgoing.Linger = lingerTime
	}
	running.permit = &carrier.SendPermit{}
	if alternative, ok := q.running[c.ExclusiveWith]; ok {
		running.permit = alternative.permit
	}
	running.outgoing.Gate.Join(running.permit)
	service := q.shards[c.Shard]
	running.outgoing.Withdrawn = func() bool {
		now := a.clock()
		return a.withdrawn(service, c.Target.Leaf, now) || q.keyRemoved() || !a.selector.PermitSend(c.Target.Leaf, &choice, now)
	}
	running.counted = a.tally.Begin(service, c.Target.Leaf.Program, q.route.Name, c.Target.Leaf.ColdUntil.After(c.Sent), c.Sent)
	if running.counted.Trial() {
		a.metrics.trials.Inc(1)
	}
	results := q.results
	go func() {
		answer, err := a.caller.Do(ctx, running.outgoing)
		running.counted.Close()
		own := a.observe(c.Target.Leaf, q.request.ID, answer)
		if own && errors.Is(context.Cause(ctx), exchanger.ErrSuperseded) {
			running.ticket.Late(loadReport(answer), a.clock())
		}
		results <- callResult{call: running, answer: answer, err: err}
	}()
}

// bodyLimit returns the maximum size of a leaf's answer body in bytes.
func (q *query) bodyLimit() int64 {
	if len(q.route.Gather) == 0 {
		return maxBody
	}
	records := min(q.route.Top, maxBody) // The product cannot overflow.
	return min(maxBody, max(minPartBody, partRecordFactor*int64(records)*merger.Size))
}

// connectionShare returns the number of a leaf's connections that this host may use.
func (q *query) connectionShare(service string) int {
	s, ok := q.view.Table.Service(service)
	if !ok || s.Connections <= 0 {
		return minShare
	}
	if q.emit != nil && q.answerer.isGatherer(q.portionKey, q.answerer.clock()) {
		// The hosts that gather a portion call its leaves; those in the leaf's data centre have a larger share.
		return min(max(minShare, gatherShareNumerator*s.Connections/(gatherShareDenominator*max(q.answerer.divider.Callers(q.view.Helpers), 1))), maxShare)
	}
	return min(max(minShare, s.Connections/max(q.view.Entries, 1)), maxShare)
}

// connectionsScarce reports whether a leaf accepts too few connections for the hosts that call it. The leaves of a
// portion are called by only a few hosts of each data centre.
func (q *query) connectionsScarce(service string) bool {
	s, ok := q.view.Table.Service(service)
	return ok && q.emit == nil && s.Connections < minShare*q.view.Entries
}

// cancel abandons a call whose shard has already been answered.
func (q *query) cancel(c planner.Call) {
	if running, ok := q.running[c.Attempt]; ok {
		delete(q.running, c.Attempt)
		q.abandon(running)
	}
}

// abandon ends a call without waiting for its answer.
func (q *query) abandon(c *leafCall) {
	end := selector.Abandoned
	if c.outgoing.Gate.Close() {
		end = selector.Unsent
	}
	c.cancel(exchanger.ErrSuperseded)
	now := q.answerer.clock()
	c.ticket.End(end, nil, now)
	if end == selector.Unsent {
		c.counted.End(roller.Unsent, now)
	} else {
		c.counted.End(roller.Slow, now)
	}
}

// withdrawn reports whether a call that waits for a connection must not be sent any more.
func (a *Answerer) withdrawn(service string, leaf *cataloguer.Leaf, now time.Time) bool {
	if a.selector.Barred(leaf, now) {
		return true
	}
	view := a.viewer.View()
	return view.Rollouts[service] != nil && !view.Callable(service, leaf, now)
}

// rolloutResult returns what the result of a call says about the version of the leaf.
func rolloutResult(class classification, answer *carrier.Answer) roller.Result {
	switch {
	case class.unsent:
		return roller.Unsent
	case class.notRun:
		return roller.Neutral
	case class.reason == reasonNone && answer.Status/100 == 2:
		return roller.Answered
	}
	// Errors that callers cause are as frequent with both versions.
	return roller.Failed
}

// handleReturned classifies the result of a call and returns the event for the planner.
func (q *query) handleReturned(r callResult) planner.Event {
	c := r.call.planned
	r.call.cancel(nil)
	result := planner.Result{Attempt: c.Attempt, Snapshot: c.Snapshot, Shard: c.Shard, Leaf: c.Target.Leaf.Name}
	if _, ok := q.running[c.Attempt]; !ok {
		return planner.Event{Kind: planner.Returned, Result: result} // Abandoned earlier; the planner ignores it.
	}
	delete(q.running, c.Attempt)
	now := q.answerer.clock()
	class := q.classify(r)
	result.Reason, result.Unsent, result.NotRun = class.reason, class.unsent, class.notRun
	r.call.notRun = class.unsent || class.notRun
	if class.connectionLost {
		q.lostConnections++
	}
	if r.answer != nil && class.reason != reasonLost && !class.notRun {
		q.answered = true
	}
	r.call.ticket.End(class.end, loadReport(r.answer), now)
	r.call.counted.End(rolloutResult(class, r.answer), now)
	if class.reason == reasonNone {
		q.answers[c.Attempt] = r.answer
		q.answerer.estimate.Observe(q.route.Name, now.Sub(c.Sent))
		q.answerer.observeService(c.Target.Leaf, now.Sub(c.Sent), r.answer.Load, now)
		return planner.Event{Kind: planner.Returned, Result: result}
	}
	q.answerer.metrics.fail(class.reason)
	eventer.CallFailed.Log(now, "id", q.request.ID, "leaf", result.Leaf, "service", c.Target.Leaf.Service, "reason", class.reason.String(),
		"unsent", class.unsent, "notrun", class.notRun, "took", now.Sub(c.Sent), "detail", class.text)
	return planner.Event{Kind: planner.Returned, Result: result}
}

// loadReport returns what a leaf reports of its load in an answer, or nil if it reports nothing.
func loadReport(a *carrier.Answer) *selector.Report {
	if a == nil || a.Load == nil {
		return nil
	}
	return &selector.Report{Others: max(0, a.Load.Running+a.Load.Waiting-1), Slowness: a.Load.Slowness}
}

// classification describes what the result of a call means for the request and for the leaf.
type classification struct {
	reason         callerv1.Reason
	unsent, notRun bool
	// connectionLost is true when the connection failed after the request was sent and before a complete answer was
	// received.
	connectionLost bool
	end            selector.End
	text           string
}

func (q *query) classify(r callResult) classification {
	if r.err != nil {
		return classifyError(r.err)
	}
	a := r.answer
	switch {
	case a.ID != q.request.ID:
		// Without the request's ID it may be a duplicate of an earlier answer on the same connection.
		return classification{reason: reasonLost, end: selector.Failed, text: "the answer does not carry the ID of the request"}
	case a.AddressReassigned:
		return classification{reason: reasonNoReplica, notRun: true, end: selector.Unreachable, text: "the address now belongs to another leaf"}
	case a.NotRun:
		return classification{reason: reasonOverloaded, notRun: true, end: selector.Shed, text: http.StatusText(a.Status)}
	case a.ImpliesNotRun:
		return classification{reason: reasonServerError, end: selector.Failed, text: "the status implies that the request was not executed, but the leaf did not confirm it"}
	case a.Encoded:
		return classification{reason: reasonServerError, end: selector.Failed, text: "the body has a content encoding"}
	case a.Status/100 == 2 && a.Stamp != "":
		return classification{reason: reasonNone, end: selector.Answered}
	}
	if a.Status/100 == 2 {
		return classification{reason: reasonLost, end: selector.Failed, text: "a success response without the leaf's signature"}
	}
	if a.Status/100 != 5 && len(q.route.Gather) == 0 || !q.route.Idempotent {
		// The status is the leaf's own response to the request and is passed on as the answer.
		return classification{reason: reasonNone, end: selector.Neutral}
	}
	if len(q.route.Gather) == 0 {
		q.response = a
	}
	return classification{reason: reasonServerError, end: selector.Failed, text: http.StatusText(a.Status)}
}

// classifyError classifies a call that returned no complete answer.
func classifyError(err error) classification {
	class := classification{reason: reasonLost, end: selector.Failed, text: err.Error()}
	switch {
	case errors.Is(err, exchanger.ErrAbandoned):
		class.unsent, class.end = true, selector.Unsent // The alternative call was sent instead.
	case errors.Is(err, exchanger.ErrBusy):
		class.reason, class.unsent, class.end = reasonNoReplica, true, selector.Neutral
	case errors.Is(err, exchanger.ErrUnreachable):
		class.unsent, class.end = true, selector.Unreachable
	case errors.Is(err, context.DeadlineExceeded):
		class.reason, class.end = reasonDeadline, selector.Abandoned
	case errors.Is(err, exchanger.ErrConnectionLost):
		class.end, class.connectionLost = selector.Unreachable, true
	case errors.Is(err, exchanger.ErrTruncated):
		class.connectionLost = true // The leaf was reached, so it is not avoided as unreachable.
	}
	return class
}
