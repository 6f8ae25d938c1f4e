package store

import (
	"context"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Begin commits the intent to run a non-idempotent request and reports whether this attempt may run it. If the local
// state shows that another attempt holds the key, Begin returns without a record in the log.
func (s *Store) Begin(ctx context.Context, b *statev1.Begin) (*statev1.BeginResult, error) {
	if r, ok := s.lookupResend(b); ok {
		return r, nil
	}
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Begin{Begin: b}})
	if err != nil {
		return nil, err
	}
	return result.GetBegin(), nil
}

func (s *Store) lookupResend(b *statev1.Begin) (*statev1.BeginResult, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.ledger.FindResult(b)
}

// Finish commits the outcome of an attempt. It is idempotent and may be resent until it is acknowledged.
func (s *Store) Finish(ctx context.Context, f *statev1.Finish) (*statev1.FinishResult, error) {
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Finish{Finish: f}})
	if err != nil {
		return nil, err
	}
	return result.GetFinish(), nil
}
