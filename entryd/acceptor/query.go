package acceptor

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/eventer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// overloadRetryDelay is the retry delay that is suggested to a caller when the host is at its limit of concurrent queries.
const overloadRetryDelay = 100 * time.Millisecond

// Query answers one query.
func (a *Acceptor) Query(ctx context.Context, in *callerv1.QueryRequest) (*callerv1.QueryResponse, error) {
	now := a.clock()
	view := a.follow.View()
	out, refused := a.admit(ctx, in, view, now)
	a.metrics.count(out, refused, a.clock().Sub(now))
	a.recordAnswer(ctx, in, out, refused, view, a.clock())
	if refused != nil {
		eventer.QueryRefused.Log(now, "id", in.GetId(), "service", in.GetService(), "reason", refused.reason.String())
		return nil, refused.encode(in.GetId(), view.Number)
	}
	out.Id = in.GetId()
	if !out.GetReplayed() {
		a.setOrigin(out, view, now)
	}
	return out, nil
}

// setOrigin sets the host that answered and the configuration version that it used.
func (a *Acceptor) setOrigin(out *callerv1.QueryResponse, view *follower.View, now time.Time) {
	out.Version = view.Number
	out.Age = durationpb.New(a.follow.Age(now))
	out.Host = a.host
	out.Center = a.center
}

// admit refuses a query without further work if the host is at its limit of concurrent queries.
func (a *Acceptor) admit(ctx context.Context, in *callerv1.QueryRequest, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	defer a.active.Add(-1)
	if a.active.Add(1) > a.maxQueries {
		r := notRun(callerv1.Reason_REASON_OVERLOADED, "this host runs as many queries as it may")
		r.wait = overloadRetryDelay
		return nil, r
	}
	return a.answer(ctx, in, view, now)
}

// answer validates a request and runs it.
func (a *Acceptor) answer(ctx context.Context, in *callerv1.QueryRequest, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	r, refused := a.parse(ctx, in, now)
	if refused != nil {
		return nil, refused
	}
	r.policy, refused = authorize(r, view)
	if refused != nil {
		return nil, refused
	}
	if r.key == "" {
		return a.run(ctx, r, view, now)
	}
	return a.runOnce(ctx, r, func(ctx context.Context) (*callerv1.QueryResponse, *refusal) {
		out, refused := a.run(ctx, r, view, a.clock())
		if refused == nil {
			a.setOrigin(out, view, now) // Before it is stored: a resend gets the stored response unchanged.
		}
		return out, refused
	})
}
