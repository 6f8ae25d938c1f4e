package store

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func (m *Machine) applyEvacuation(e *statev1.Evacuation, now time.Time) *statev1.Result {
	changed := m.evacuated[e.GetCenter()] != e.GetOut()
	if changed {
		m.documents.Audit(&statev1.Change{Time: timestamppb.New(now), Author: e.GetAuthor(), Applied: true, Evacuation: e})
		m.evacuated[e.GetCenter()] = e.GetOut()
		if !e.GetOut() {
			delete(m.evacuated, e.GetCenter())
		}
		m.notifyChanged()
	}
	return &statev1.Result{Kind: &statev1.Result_Evacuation{Evacuation: &statev1.EvacuationResult{Changed: changed}}}
}

func (m *Machine) evacuatedCenters() []string {
	out := make([]string, 0, len(m.evacuated))
	for center := range m.evacuated {
		out = append(out, center)
	}
	slices.Sort(out)
	return out
}

func (m *Machine) saveEvacuated(state *statev1.State) {
	state.Evacuated = m.evacuatedCenters()
}

func (m *Machine) loadEvacuated(state *statev1.State) {
	m.evacuated = make(map[string]bool, len(state.GetEvacuated()))
	for _, center := range state.GetEvacuated() {
		m.evacuated[center] = true
	}
}

// Evacuate takes the leaves of a data centre out of use, or returns them to use.
func (s *Store) Evacuate(ctx context.Context, e *statev1.Evacuation) error {
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Evacuation{Evacuation: e}})
	if err != nil {
		eventer.EvacuationUndecided.Log(s.clock(), "center", e.GetCenter(), "out", e.GetOut(), "author", e.GetAuthor(), "error", err.Error())
		return err
	}
	eventer.EvacuationDecided.Log(s.clock(), "center", e.GetCenter(), "out", e.GetOut(), "author", e.GetAuthor(),
		"changed", result.GetEvacuation().GetChanged())
	return nil
}
