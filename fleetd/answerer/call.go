package answerer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/merger"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/selector"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

const (
	// hold is the time for which an unused connection is kept. scarceHold is that for a leaf of another data centre
	// whose connections do not suffice for all hosts.
	hold       = 10 * time.Second
	scarceHold = 3 * time.Second
	// maxAnswer bounds the body of a leaf's answer in bytes. A part of a gathered answer may have partRecords times as
	// many records as the answer, and leastPart bytes in any case.
	maxAnswer   = 8 << 20
	partRecords = 64
	leastPart   = 64 << 10
	// leastShare is the least number of connections that a host may have to a leaf.
	leastShare = 2
	// mostShare bounds it while this host may not know of all the others, as after the loss of all hosts.
	mostShare = 6
	// dutyPart of dutyWhole of a leaf's connections are divided among the hosts that gather its portion; the others are
	// for hosts that step in.
	dutyPart, dutyWhole = 3, 4
	// localFactor multiplies the share for leaves of the own data centre, which hosts elsewhere use little.
	localFactor = 2
)

// Reasons of the calls' ends.
const (
	reasonNone        = callerv1.Reason_REASON_UNSPECIFIED
	reasonOverloaded  = callerv1.Reason_REASON_OVERLOADED
	reasonLost        = callerv1.Reason_REASON_CONNECTION_LOST
	reasonServerError = callerv1.Reason_REASON_SERVER_ERROR
	reasonDeadline    = callerv1.Reason_REASON_DEADLINE
	reasonCoverage    = callerv1.Reason_REASON_COVERAGE
	reasonNoReplica   = callerv1.Reason_REASON_NO_REPLICA
)

// send starts a leaf call.
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
	ctx, cancel := context.WithCancel(ctx)
	running := &call{cancel: cancel, call: c, ticket: a.selector.Begin(c.Target.Leaf, &choice, c.Sent)}
	q.running[c.Attempt] = running
	q.sent = append(q.sent, running)
	running.out = &carrier.Call{
		Request: q.request, Leaf: c.Target.Leaf.Name, Address: c.Target.Leaf.Address, Deadline: c.Sent.Add(c.Timeout),
		Most: q.most(), Fresh: !q.route.Idempotent, Hold: hold, Share: localFactor * q.share(c.Target.Leaf.Service),
	}
	if c.Target.Leaf.Center != a.center {
		running.out.Share = q.share(c.Target.Leaf.Service)
		if q.scarce(c.Target.Leaf.Service) {
			running.out.Hold = scarceHold
		}
	}
	running.turn = &carrier.Turn{}
	if rival, ok := q.running[c.Rival]; ok {
		running.turn = rival.turn
	}
	running.out.Gate.Join(running.turn)
	results := q.results
	go func() {
		answer, err := a.caller.Do(ctx, running.out)
		results <- returned{call: running, answer: answer, err: err}
	}()
}

// most bounds the body of a leaf's answer, in bytes.
func (q *query) most() int64 {
	if len(q.route.Gather) == 0 {
		return maxAnswer
	}
	return min(maxAnswer, max(leastPart, partRecords*int64(q.route.Top)*merger.Size))
}

// share returns this host's part of the connections that a leaf accepts.
func (q *query) share(service string) int {
	s, ok := q.view.Table.Service(service)
	if !ok || s.Connections <= 0 {
		return leastShare
	}
	if q.give != nil && q.answerer.onDuty(q.key, q.answerer.clock()) {
		// The hosts that gather a portion call its leaves, hosts of the leaf's data centre with a larger share.
		return min(max(leastShare, dutyPart*s.Connections/(dutyWhole*max(q.answerer.divider.Callers(q.view.Helpers), 1))), mostShare)
	}
	return min(max(leastShare, s.Connections/max(q.view.Entries, 1)), mostShare)
}

// scarce reports whether a leaf's connections do not suffice for the hosts that call it. A portion's leaves are called
// by a few hosts of each data centre.
func (q *query) scarce(service string) bool {
	s, ok := q.view.Table.Service(service)
	return ok && q.give == nil && s.Connections < leastShare*q.view.Entries
}

// cancel gives a call up whose shard has been answered.
func (q *query) cancel(c planner.Call) {
	if running, ok := q.running[c.Attempt]; ok {
		delete(q.running, c.Attempt)
		q.giveUp(running)
	}
}

// giveUp ends a call without its answer.
func (q *query) giveUp(c *call) {
	end := selector.Abandoned
	if c.out.Gate.Close() {
		end = selector.Unsent
	}
	c.cancel()
	c.ticket.End(end, -1, q.answerer.clock())
}

// ended judges how a call ended and tells the planner.
func (q *query) ended(r returned) planner.Event {
	c := r.call.call
	r.call.cancel()
	result := planner.Result{Attempt: c.Attempt, Snapshot: c.Snapshot, Shard: c.Shard, Leaf: c.Target.Leaf.Name}
	if _, ok := q.running[c.Attempt]; !ok {
		return planner.Event{Kind: planner.Returned, Result: result} // Given up before; the planner drops it.
	}
	delete(q.running, c.Attempt)
	now := q.answerer.clock()
	verdict := q.judge(r)
	result.Reason, result.Unsent, result.NotRun = verdict.reason, verdict.unsent, verdict.notRun
	r.call.harmless = verdict.unsent || verdict.notRun
	if verdict.broken {
		q.lost++
	}
	if r.answer != nil && verdict.reason != reasonLost && !verdict.notRun {
		q.alive = true
	}
	load := -1
	if r.answer != nil && r.answer.Load != nil {
		load = max(0, r.answer.Load.Running+r.answer.Load.Waiting-1)
	}
	r.call.ticket.End(verdict.end, load, now)
	if verdict.reason == reasonNone {
		q.answers[c.Attempt] = r.answer
		q.answerer.estimate.Observe(q.route.Name, now.Sub(c.Sent))
		return planner.Event{Kind: planner.Returned, Result: result}
	}
	q.answerer.metrics.fail(verdict.reason)
	eventer.CallFailed.Log(now, "id", q.request.ID, "leaf", result.Leaf, "service", c.Target.Leaf.Service, "reason", verdict.reason.String(),
		"unsent", verdict.unsent, "notrun", verdict.notRun, "took", now.Sub(c.Sent), "detail", verdict.text)
	return planner.Event{Kind: planner.Returned, Result: result}
}

// verdict says what a call's end means for the request and for the leaf.
type verdict struct {
	reason         callerv1.Reason
	unsent, notRun bool
	// broken is true when the connection ended after the request was sent and before an answer was in.
	broken bool
	end    selector.End
	text   string
}

func (q *query) judge(r returned) verdict {
	if r.err != nil {
		return judgeError(r.err)
	}
	a := r.answer
	switch {
	case a.ID != q.request.ID:
		// Without the request's identity it may be a second copy of an older answer on the same connection.
		return verdict{reason: reasonLost, end: selector.Erred, text: "the answer does not state that it belongs to the request"}
	case a.Moved:
		return verdict{reason: reasonNoReplica, notRun: true, end: selector.Unreachable, text: "another leaf has the address"}
	case a.NotRun:
		return verdict{reason: reasonOverloaded, notRun: true, end: selector.Shed, text: http.StatusText(a.Status)}
	case a.Promise:
		return verdict{reason: reasonServerError, end: selector.Erred, text: "a status that promises that nothing has run, from a leaf that does not say so"}
	case a.Encoded:
		return verdict{reason: reasonServerError, end: selector.Erred, text: "the body is encoded"}
	case a.Status/100 == 2 && a.Stamp != "":
		return verdict{reason: reasonNone, end: selector.Answered}
	}
	if a.Status/100 == 2 {
		return verdict{reason: reasonLost, end: selector.Erred, text: "a success without the leaf's signature"}
	}
	if a.Status/100 != 5 && len(q.route.Gather) == 0 || !q.route.Idempotent {
		// The leaf's own verdict on the request is the answer.
		return verdict{reason: reasonNone, end: selector.Neutral}
	}
	if len(q.route.Gather) == 0 {
		q.response = a
	}
	return verdict{reason: reasonServerError, end: selector.Erred, text: http.StatusText(a.Status)}
}

// judgeError judges a call without a whole answer.
func judgeError(err error) verdict {
	v := verdict{reason: reasonLost, end: selector.Erred, text: err.Error()}
	switch {
	case errors.Is(err, exchanger.ErrGivenUp):
		v.unsent, v.end = true, selector.Unsent // The call with which it shared its turn was sent.
	case errors.Is(err, exchanger.ErrBusy):
		v.reason, v.unsent, v.end = reasonNoReplica, true, selector.Neutral
	case errors.Is(err, exchanger.ErrUnreachable):
		v.unsent, v.end = true, selector.Unreachable
	case errors.Is(err, context.DeadlineExceeded):
		v.reason, v.end = reasonDeadline, selector.Abandoned
	case errors.Is(err, exchanger.ErrLost):
		v.end, v.broken = selector.Unreachable, true
	}
	return v
}
