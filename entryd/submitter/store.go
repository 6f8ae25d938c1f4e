package submitter

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/registrar"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func (a *attempt) newFinish(response *callerv1.QueryResponse, unsent bool) *statev1.Finish {
	out := &statev1.Finish{Tenant: a.begin.GetTenant(), Key: a.begin.GetKey(), Attempt: a.begin.GetAttempt(), Unsent: unsent}
	if !unsent {
		out.Response = truncated(response)
	}
	return out
}

// truncated returns the part of a response that the ledger keeps. It is a copy, because the caller's reply is modified
// while the copy is being sent.
func truncated(response *callerv1.QueryResponse) *callerv1.QueryResponse {
	out := &callerv1.QueryResponse{}
	if err := proto.Unmarshal(registrar.EncodeResponse(response), out); err != nil {
		return &callerv1.QueryResponse{Outcome: response.GetOutcome(), Truncated: true}
	}
	return out
}

// store commits a Finish in the background. It does not use the caller's context, which may be cancelled by then.
func (s *Submitter) store(f *statev1.Finish) {
	s.pending.Add(1)
	s.storing.Go(func() {
		defer s.pending.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := s.commit(ctx, f); err != nil {
			eventer.FinishFailed.Log(s.clock(), "tenant", f.GetTenant(), "key", f.GetKey(), "attempt", f.GetAttempt(), "error", err.Error())
		}
	})
}

// commit sends the Finish to the control hosts in turn until one acknowledges it.
func (s *Submitter) commit(ctx context.Context, f *statev1.Finish) error {
	var err error
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		first := int(s.preferred.Load())
		for i := range s.controls {
			if err = s.finishAt(ctx, s.controls[(first+i)%len(s.controls)], f); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-s.stop:
			return err
		case <-time.After(backoff):
		}
	}
}

func (s *Submitter) finishAt(ctx context.Context, c Control, f *statev1.Finish) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.Finish(ctx, f)
}
