package store

import (
	"context"

	"github.com/samber/oops"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Patch applies an operator's change through the log. A dry run is checked against the newest state and does not enter
// the log.
func (s *Store) Patch(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error) {
	if p.GetDry() {
		return s.dryRun(ctx, p)
	}
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Patch{Patch: p}})
	if err != nil {
		eventer.PatchUndecided.Log(s.clock(), "id", p.GetId(), "base", p.GetBase(), "error", err.Error())
		return nil, err
	}
	s.logDecision(p, result.GetPatch())
	return result.GetPatch(), nil
}

func (s *Store) dryRun(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.Lock() // Apply updates the size that the machine counts, so a read lock is not enough.
	defer s.machine.mu.Unlock()
	return s.machine.configuration.Apply(p, s.machine.time), nil
}

func (s *Store) logDecision(p *statev1.Patch, result *statev1.PatchResult) {
	event := eventer.PatchRefused
	if result.GetVerdict() == statev1.Verdict_VERDICT_ACCEPTED {
		event = eventer.PatchAccepted
	}
	event.Log(s.clock(), "id", p.GetId(), "author", p.GetAuthor(), "base", p.GetBase(),
		"verdict", result.GetVerdict().String(), "version", result.GetVersion(), "faults", len(result.GetFaults()))
}
