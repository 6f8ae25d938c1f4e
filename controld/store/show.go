package store

import (
	"context"

	"github.com/samber/oops"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Show returns a version with its document. Number 0 is the newest one, and then the read is linearizable.
// A numbered version never changes and is read from the local state when that has it.
func (s *Store) Show(ctx context.Context, number uint64) (*statev1.Version, error) {
	if v, ok := s.local(number); ok && number != 0 {
		return v, nil
	}
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	v, ok := s.local(number)
	if !ok {
		return nil, oops.In("store").Wrapf(ErrNotKept, "version %d", number)
	}
	return v, nil
}

// local returns a version of the local state; the newest one when the number is 0.
func (s *Store) local(number uint64) (*statev1.Version, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	if number == 0 {
		return s.machine.configuration.Current(), true
	}
	return s.machine.configuration.Version(number)
}

// Difference returns the merge patch between two versions and the numbers it is between; to is the newest version
// when it is 0.
func (s *Store) Difference(ctx context.Context, from, to uint64) ([]byte, uint64, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, 0, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	if to == 0 {
		to = s.machine.configuration.Current().GetNumber()
	}
	out, err := s.machine.configuration.Difference(from, to)
	if err != nil {
		return nil, 0, oops.In("store").Wrapf(ErrNotKept, "%s", err.Error())
	}
	return out, to, nil
}

// History returns at most limit of the newest audit entries that concern versions of at least from, the oldest
// entry first. A limit of 0 means all.
func (s *Store) History(ctx context.Context, from uint64, limit int) ([]*statev1.Audit, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.configuration.Audits(from, limit), nil
}
