package store

import (
	"context"

	"github.com/samber/oops"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Show returns a version with its document. Number 0 is the newest version; that read is linearizable. A numbered version
// is immutable, so it is read from the local state if it is there.
func (s *Store) Show(ctx context.Context, number uint64) (*statev1.Version, error) {
	if v, ok := s.localVersion(number); ok && number != 0 {
		return v, nil
	}
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	v, ok := s.localVersion(number)
	if !ok {
		return nil, oops.In("store").Wrapf(ErrNotKept, "version %d", number)
	}
	return v, nil
}

// localVersion returns a version from the local state; the newest one when the number is 0.
func (s *Store) localVersion(number uint64) (*statev1.Version, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	if number == 0 {
		return s.machine.configuration.Current(), true
	}
	return s.machine.configuration.Version(number)
}

// Difference returns the merge patch from one version to another, and the number of the latter, which is the newest
// version when to is 0.
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

// History returns at most limit of the newest audit entries for versions of at least from, oldest entry first. A limit
// of 0 means no limit.
func (s *Store) History(ctx context.Context, from uint64, limit int) ([]*statev1.Audit, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.configuration.Audits(from, limit), nil
}
