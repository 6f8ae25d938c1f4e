package suspector

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Arbiter asks a control host whether a suspected request may run, or tells it that the request has ended.
type Arbiter func(context.Context, *peerv1.TryRequest) (*peerv1.TryResponse, error)

// Begin asks whether a request may run now. Requests of a fingerprint of which one was lost, and none answered since, run one at
// a time among all hosts that reach the same control host. It returns the time after which the request is to come again,
// or 0 and a function that must be called when the request has ended and was reported, or 0 and nil if the request is not
// suspected. The deadline is the latest time at which the request ends.
func (s *Suspector) Begin(ctx context.Context, r *carrier.Request, deadline, now time.Time) (end func(now time.Time), wait time.Duration) {
	if s.ledger.IsEmpty() {
		return nil, 0
	}
	f := fingerprint(r)
	if !s.ledger.Suspected(f, now) {
		return nil, 0
	}
	trial := fmt.Sprintf("%x.%x", s.origin, s.sequence.Add(1))
	if wait := s.trials.Begin(f, trial, deadline, now); wait > 0 {
		return nil, wait
	}
	if wait := s.ask(ctx, f, trial, deadline.Sub(now), now); wait > 0 {
		s.trials.End(f, trial)
		return nil, wait
	}
	return func(now time.Time) {
		s.trials.End(f, trial)
		s.tell(f, trial, now)
	}, 0
}

// ask asks the arbiter and returns the time after which the request is to come again, or 0 if it may run. The ledger is read
// after the trial has begun: the trial before it may have ended with the loss that blocks the fingerprint.
func (s *Suspector) ask(ctx context.Context, f uint64, trial string, limit time.Duration, now time.Time) time.Duration {
	wait := s.consult(ctx, f, trial, limit, now)
	if blocked := s.ledger.Blocked(f, now); blocked > 0 {
		s.tell(f, trial, now)
		return blocked
	}
	return wait
}

// consult returns the arbiter's answer. It is 0 if no arbiter can be reached: this host still runs one request at a time.
func (s *Suspector) consult(ctx context.Context, f uint64, trial string, limit time.Duration, now time.Time) time.Duration {
	if s.arbiter == nil {
		return 0
	}
	request := &peerv1.TryRequest{Loss: Encode(s.ledger.Find(f, now), now), Trial: trial, Limit: durationpb.New(limit)}
	response, err := s.arbiter(ctx, request)
	if err != nil {
		eventer.SuspectReportFailed.Log(now, "fingerprint", f, "error", err.Error())
		return 0
	}
	s.Merge([]*peerv1.Loss{response.GetLoss()}, now)
	return response.GetWait().AsDuration()
}

// tell tells the arbiter in the background that a trial has ended, and what is known since.
func (s *Suspector) tell(f uint64, trial string, now time.Time) {
	if s.arbiter == nil {
		return
	}
	request := &peerv1.TryRequest{Loss: Encode(s.ledger.Find(f, now), now), Trial: trial, Ended: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if _, err := s.arbiter(ctx, request); err != nil {
			eventer.SuspectReportFailed.Log(now, "fingerprint", f, "error", err.Error())
		}
	}()
}
