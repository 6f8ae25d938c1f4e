package acceptor

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/eventer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// overloadWait is the wait that is suggested to a caller when the host runs as many queries as it may.
const overloadWait = 100 * time.Millisecond

// Query answers one question.
func (a *Acceptor) Query(ctx context.Context, in *callerv1.QueryRequest) (*callerv1.QueryResponse, error) {
	now := a.clock()
	view := a.follow.View()
	out, refused := a.admit(ctx, in, view, now)
	a.metrics.count(out, refused, a.clock().Sub(now))
	if refused != nil {
		eventer.QueryRefused.Log(now, "id", in.GetId(), "service", in.GetService(), "reason", refused.reason.String())
		return nil, refused.encode(in.GetId(), view.Number)
	}
	out.Id = in.GetId()
	out.Version = view.Number
	out.Age = durationpb.New(a.follow.Age(now))
	out.Host = a.host
	out.Center = a.center
	return out, nil
}

// admit refuses a query at once when the host runs as many as it may.
func (a *Acceptor) admit(ctx context.Context, in *callerv1.QueryRequest, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	defer a.running.Add(-1)
	if a.running.Add(1) > a.queries {
		r := notRun(callerv1.Reason_REASON_OVERLOADED, "this host runs as many queries as it may")
		r.wait = overloadWait
		return nil, r
	}
	return a.answer(ctx, in, view, now)
}

// answer checks a request and runs it.
func (a *Acceptor) answer(ctx context.Context, in *callerv1.QueryRequest, view *follower.View, now time.Time) (*callerv1.QueryResponse, *refusal) {
	r, refused := a.parse(ctx, in, now)
	if refused != nil {
		return nil, refused
	}
	r.policy, refused = permit(r, view)
	if refused != nil {
		return nil, refused
	}
	return a.run(ctx, r, view, now)
}
