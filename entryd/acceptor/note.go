package acceptor

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/authorizer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Recorder keeps the record of answers.
type Recorder interface {
	Add(a *statev1.Answer)
}

// WithRecorder sets what keeps the record of answers. Without it there is none.
func WithRecorder(r Recorder) Option {
	return func(a *Acceptor) { a.record = r }
}

// note adds one reply or refusal to the record.
func (a *Acceptor) note(ctx context.Context, in *callerv1.QueryRequest, out *callerv1.QueryResponse, refused *refusal, view *follower.View, now time.Time) {
	if a.record == nil {
		return
	}
	answer := &statev1.Answer{
		Id: clip(in.GetId()), Caller: clip(authorizer.From(ctx).Name), Tenant: clip(in.GetTenant()), Service: clip(in.GetService()), Key: clip(in.GetKey()),
		Version: view.Number, Time: timestamppb.New(now),
	}
	if refused != nil {
		answer.Outcome, answer.Reason, answer.Coverage = refused.outcome, refused.reason, refused.coverage
	} else {
		answer.Outcome, answer.Coverage, answer.Snapshot = out.GetOutcome(), out.GetCoverage(), out.GetSnapshot()
	}
	a.record.Add(answer)
}

// clip bounds the names of a request that was refused because they are too long.
func clip(name string) string {
	return name[:min(len(name), maxName)]
}
