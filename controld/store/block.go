package store

import (
	"context"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func (m *Machine) applyBlocks(b *statev1.Blocks) *statev1.Result {
	if m.blocks.Apply(b) {
		m.notifyChanged()
	}
	return &statev1.Result{}
}

// Block records and removes fingerprints of requests that are refused.
func (s *Store) Block(ctx context.Context, b *statev1.Blocks) error {
	_, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Blocks{Blocks: b}})
	if err != nil {
		eventer.BlocksUndecided.Log(s.clock(), "set", len(b.GetSet()), "removed", len(b.GetRemoved()), "error", err.Error())
		return err
	}
	for _, r := range b.GetSet() {
		ids := make([]string, 0, len(r.GetLost()))
		for _, l := range r.GetLost() {
			ids = append(ids, l.GetId())
		}
		eventer.BlockDecided.Log(s.clock(), "fingerprint", r.GetFingerprint(), "blocked", true, "lost", ids)
	}
	for _, fingerprint := range b.GetRemoved() {
		eventer.BlockDecided.Log(s.clock(), "fingerprint", fingerprint, "blocked", false)
	}
	return nil
}
