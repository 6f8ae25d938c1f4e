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

// Recorder stores the record of each answer.
type Recorder interface {
	Add(a *statev1.Answer)
}

// WithRecorder sets the recorder of answers. Without it no answers are recorded.
func WithRecorder(r Recorder) Option {
	return func(a *Acceptor) { a.record = r }
}

// recordAnswer records one reply or refusal.
func (a *Acceptor) recordAnswer(ctx context.Context, in *callerv1.QueryRequest, out *callerv1.QueryResponse, refused *refusal, view *follower.View, now time.Time) {
	if a.record == nil {
		return
	}
	answer := &statev1.Answer{
		Id: truncate(in.GetId()), Caller: truncate(authorizer.PeerFrom(ctx).Name), Tenant: truncate(in.GetTenant()), Service: truncate(in.GetService()), Key: truncate(in.GetKey()),
		Version: view.Number, Time: timestamppb.New(now),
	}
	if refused != nil {
		answer.Outcome, answer.Reason, answer.Coverage = refused.outcome, refused.reason, refused.coverage
	} else {
		answer.Outcome, answer.Coverage, answer.Snapshot = out.GetOutcome(), out.GetCoverage(), out.GetSnapshot()
	}
	a.record.Add(answer)
}

// truncate shortens a name to maxName bytes: requests that are refused for an overlong name are recorded too.
func truncate(name string) string {
	return name[:min(len(name), maxName)]
}
