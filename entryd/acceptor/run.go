package acceptor

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/quarantiner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// stepper is a planner, with or without recording a trace.
type stepper interface {
	Step(e planner.Event, now time.Time) []planner.Action
}

// activeQuery is a query in progress. It runs in its caller's goroutine; one mailbox and one timer serve all its calls.
type activeQuery struct {
	acceptor    *Acceptor
	request     *request
	version     uint64
	fingerprint uint64
	ticket      quarantiner.Ticket
	reported    chan struct{}
	ended       chan struct{}
	plan        stepper
	box         *dispatcher.Mailbox
	timer       *time.Timer
	reply       *planner.Reply
}

// run answers a validated request.
func (a *Acceptor) run(ctx context.Context, r *request, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	q := &activeQuery{acceptor: a, request: r, version: view.Number, fingerprint: r.fingerprint(), reported: make(chan struct{}), ended: make(chan struct{})}
	defer close(q.ended)
	if refused := q.enter(ctx, now); refused != nil {
		return nil, refused
	}
	defer q.leave()
	q.box = dispatcher.NewMailbox()
	defer q.box.Close()
	q.timer = time.NewTimer(r.deadline.Sub(now))
	defer q.timer.Stop()
	q.plan = a.plan(planner.Query{
		Identity: a.identity(), NonIdempotent: r.key != "", MinCoverage: r.minCoverage, Received: now, Deadline: r.deadline,
		Canary: q.ticket.Verdict != quarantiner.Free, Exclusive: q.ticket.Verdict == quarantiner.Alone,
	}, &environment{acceptor: a, request: r, view: view})
	q.step(planner.Event{Kind: planner.Start})
	for q.reply == nil {
		q.wait(ctx)
	}
	a.writeTrace(q.plan, q.reply)
	return q.request.respond(q.reply)
}

// identity returns the prefix of the attempt identities of one query. It is unique across hosts and restarts.
func (a *Acceptor) identity() string {
	return a.host + "/" + strconv.FormatInt(a.incarnation, 36) + "/" + strconv.FormatUint(a.sequence.Add(1), 36)
}

func (a *Acceptor) reportViolation(invariant, text string) {
	eventer.InvariantBroken.Log(a.clock(), "invariant", invariant, "text", text)
	a.metrics.violations.Inc(1)
}

// wait blocks until the next event and passes it to the planner.
func (q *activeQuery) wait(ctx context.Context) {
	select {
	case <-q.box.Ready():
		for _, r := range q.box.Take() {
			q.acceptor.applyHints(r)
			q.step(planner.Event{Kind: planner.Returned, Result: result(r)})
		}
	case <-q.timer.C:
		q.step(planner.Event{Kind: planner.Elapsed})
	case <-q.reported:
		q.step(planner.Event{Kind: planner.Reported})
	case <-ctx.Done():
		q.step(planner.Event{Kind: planner.Abandoned})
	}
}

// applyHints applies what the answering host states in a result: the owner of the leaf, and its configuration version.
func (a *Acceptor) applyHints(r *peerv1.CallResult) {
	if r.GetReason() == callerv1.Reason_REASON_NOT_OWNER && r.GetOwner() != "" {
		a.owners.Hint(r.GetLeaf(), r.GetOwner())
	}
	if r.GetHost() != "" {
		a.follow.FetchIfNewer(r.GetHost(), r.GetVersion())
	}
}

// step passes an event to the planner and performs the actions that it returns.
func (q *activeQuery) step(e planner.Event) {
	now := q.acceptor.clock()
	actions := q.plan.Step(e, now)
	for i := range actions {
		q.perform(&actions[i], now)
	}
}

func (q *activeQuery) perform(action *planner.Action, now time.Time) {
	a := q.acceptor
	switch action.Kind {
	case planner.Send:
		q.send(&action.Call, now)
	case planner.Cancel:
		a.callAbandoned(q.request.service, &action.Call, now)
		a.dispatch.Cancel(action.Call.Target.Owner, action.Call.Attempt)
	case planner.RecordCall:
		a.callEnded(q.request.service, &action.Call, action.Result.Reason, action.Result.Unsent, now)
	case planner.SetTimer:
		q.timer.Reset(action.At.Sub(now))
	case planner.CountDropped:
		a.replyDropped(action, now)
	case planner.Finish:
		q.reply = action.Reply
	case planner.Suspect:
		q.reportCrash(&action.Call)
	case planner.ClearSuspect:
		q.reportCleared()
	}
}

func (q *activeQuery) send(c *planner.Call, now time.Time) {
	a := q.acceptor
	a.metrics.calls[c.Kind].Inc(1)
	a.balance.Begin(c.Target.Leaf.Name, now)
	a.dispatch.Send(c.Target.Owner, &peerv1.Call{
		Attempt: c.Attempt, Service: q.request.service, Snapshot: c.Snapshot, Shard: c.Shard, Leaf: c.Target.Leaf.Name, Body: q.request.body,
		Timeout: durationpb.New(c.Timeout), Tenant: q.request.tenant, Fingerprint: q.fingerprint, Key: q.request.key, Alone: c.Exclusive,
		Extra: c.Kind == planner.Hedge || c.Kind == planner.Retry, Version: q.version,
	}, q.box)
}

func result(r *peerv1.CallResult) planner.Result {
	return planner.Result{
		Attempt: r.GetAttempt(), Snapshot: r.GetSnapshot(), Shard: r.GetShard(), Leaf: r.GetLeaf(), Body: r.GetBody(),
		Reason: r.GetReason(), Unsent: r.GetUnsent(), Owner: r.GetOwner(),
	}
}

// replyDropped counts a reply that matches no open call.
func (a *Acceptor) replyDropped(action *planner.Action, now time.Time) {
	if !action.Mismatched {
		a.metrics.late.Inc(1)
		return
	}
	a.metrics.mismatched.Inc(1)
	eventer.ReplyMismatched.Log(now, "attempt", action.Result.Attempt, "leaf", action.Result.Leaf)
}
