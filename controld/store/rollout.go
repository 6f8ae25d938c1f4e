package store

import (
	"context"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// reply returns a result about rollouts and wakes the waiters if it has changed something.
func (m *Machine) reply(r *statev1.RolloutResult) *statev1.Result {
	if r.GetChanged() {
		m.notifyChanged()
	}
	return &statev1.Result{Kind: &statev1.Result_Rollout{Rollout: r}}
}

// Order orders a version of a service. The result has the rollout in force and says whether the order has started it.
func (s *Store) Order(ctx context.Context, o *statev1.RolloutOrder) (*statev1.RolloutResult, error) {
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Rollout{Rollout: o}})
	if err != nil {
		eventer.RolloutUndecided.Log(s.clock(), "service", o.GetService(), "target", o.GetTarget(), "author", o.GetAuthor(), "error", err.Error())
		return nil, err
	}
	out := result.GetRollout()
	eventer.RolloutOrdered.Log(s.clock(), "service", o.GetService(), "target", o.GetTarget(), "duration", o.GetDuration().AsDuration(),
		"author", o.GetAuthor(), "started", out.GetChanged(), "state", out.GetRollout().GetState().String())
	return out, nil
}

// Step records a step of a running order.
func (s *Store) Step(ctx context.Context, step *statev1.RolloutStep) (*statev1.RolloutResult, error) {
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Step{Step: step}})
	return result.GetRollout(), err
}

// SetBaselines records the versions in use of services without a running order.
func (s *Store) SetBaselines(ctx context.Context, b *statev1.Baselines) error {
	_, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Baselines{Baselines: b}})
	return err
}

// Rollout returns the rollout of a service, or nil. The read is linearizable.
func (s *Store) Rollout(ctx context.Context, service string) (*statev1.Rollout, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.rollouts.Find(service), nil
}

// Now returns the time of the newest command, if it is later than a local time: commands are ordered by it.
func (s *Store) Now(local time.Time) time.Time {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	if s.machine.time.After(local) {
		return s.machine.time
	}
	return local
}

// Rollouts returns the rollouts in the local state, sorted by service. Callers must not modify the slice.
func (s *Store) Rollouts() []*statev1.Rollout {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.rollouts.List()
}

// Evacuated returns the evacuated data centres in the local state.
func (s *Store) Evacuated() []string {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.evacuatedCenters()
}
