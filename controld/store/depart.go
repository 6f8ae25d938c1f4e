package store

import (
	"context"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func (m *Machine) applyDeparture(d *statev1.Departure, now time.Time) *statev1.Result {
	m.departures.Apply(d.GetLeaf(), d.GetBorn(), now)
	m.notifyChanged()
	return &statev1.Result{Kind: &statev1.Result_Departure{Departure: &statev1.DepartureResult{}}}
}

// Depart records that an incarnation of a leaf is shutting down.
func (s *Store) Depart(ctx context.Context, d *statev1.Departure) error {
	if s.Departed(d.GetLeaf(), d.GetBorn()) {
		return nil
	}
	if _, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Departure{Departure: d}}); err != nil {
		eventer.DepartureUndecided.Log(s.clock(), "leaf", d.GetLeaf(), "born", d.GetBorn(), "error", err.Error())
		return err
	}
	eventer.DepartureDecided.Log(s.clock(), "leaf", d.GetLeaf(), "born", d.GetBorn())
	return nil
}

// Departed reports whether the departure of an incarnation of a leaf is recorded in the local state.
func (s *Store) Departed(leaf string, born uint64) bool {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.departures.Departed(leaf, born)
}

// HasDeparted reports whether the departure of any incarnation of a leaf is recorded in the local state.
func (s *Store) HasDeparted(leaf string) bool {
	return s.Departed(leaf, 0)
}

// View is a copy of the part of the local state that entry hosts follow.
type View struct {
	// Index is the index of the newest log record that is included.
	Index     uint64
	Document  *statev1.Document
	Evacuated []string
	// Departures holds the newest departed incarnation of each leaf.
	Departures map[string]uint64
	// Rollouts are sorted by service.
	Rollouts []*statev1.Rollout
	// Blocks are the requests that are refused, sorted by fingerprint.
	Blocks []*statev1.Block
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// ConfirmedView returns a local state that includes every change that was acknowledged before the call.
func (s *Store) ConfirmedView(ctx context.Context) (View, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return View{}, oops.In("store").Wrapf(err, "read the newest state")
	}
	return s.View(), nil
}

// View returns the local state. It works without a majority.
func (s *Store) View() View {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	m := s.machine
	out := View{
		Index: m.index, Document: m.documents.Current(), Evacuated: m.evacuatedCenters(),
		Departures: make(map[string]uint64), Rollouts: m.rollouts.List(), Blocks: m.blocks.List(), Changed: m.changed,
	}
	m.departures.Each(func(leaf string, born uint64) { out.Departures[leaf] = born })
	return out
}
