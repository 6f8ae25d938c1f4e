package store

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// ErrOvertaken reports that a newer order for the data centre was recorded after the sender of this order had looked.
var ErrOvertaken = errors.New("a newer order for the data centre has overtaken this one")

// applyEvacuation applies an order unless it is overtaken. Each applied order counts as the newest of its data centre, also
// if it changes nothing: it was acknowledged, and no older order may undo it.
func (m *Machine) applyEvacuation(index uint64, e *statev1.Evacuation, now time.Time) *statev1.Result {
	changed := m.evacuated[e.GetCenter()] != e.GetOut()
	if changed && e.After != nil && m.orders[e.GetCenter()] > e.GetAfter() {
		return evacuationResult(&statev1.EvacuationResult{Overtaken: true})
	}
	m.orders[e.GetCenter()] = index
	if changed {
		m.documents.Audit(&statev1.Change{Time: timestamppb.New(now), Author: e.GetAuthor(), Applied: true, Evacuation: e})
		m.evacuated[e.GetCenter()] = e.GetOut()
		if !e.GetOut() {
			delete(m.evacuated, e.GetCenter())
		}
		m.notifyChanged()
	}
	return evacuationResult(&statev1.EvacuationResult{Changed: changed})
}

func evacuationResult(r *statev1.EvacuationResult) *statev1.Result {
	return &statev1.Result{Kind: &statev1.Result_Evacuation{Evacuation: r}}
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
	for _, center := range slices.Sorted(maps.Keys(m.orders)) {
		state.Orders = append(state.Orders, &statev1.Order{Center: center, Index: m.orders[center]})
	}
}

func (m *Machine) loadEvacuated(state *statev1.State) {
	m.evacuated = make(map[string]bool, len(state.GetEvacuated()))
	for _, center := range state.GetEvacuated() {
		m.evacuated[center] = true
	}
	m.orders = make(map[string]uint64, len(state.GetOrders()))
	for _, o := range state.GetOrders() {
		m.orders[o.GetCenter()] = o.GetIndex()
	}
}

// newestOrder returns the index of the newest order for a data centre in the local state, 0 if there is none.
func (s *Store) newestOrder(center string) uint64 {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.orders[center]
}

// ErrAuthorGone reports that the author of an order no longer waited for it before it was recorded.
var ErrAuthorGone = errors.New("the author of the order no longer waits for it")

// Evacuate takes the leaves of a data centre out of use, or returns them to use. waiting reports whether the author still
// waits for the order. It is asked once the newest order for the data centre is known: an author sends no newer order
// while it waits for this one, so an order that was held up, for example by a frozen host, is recognised as overtaken.
func (s *Store) Evacuate(ctx context.Context, e *statev1.Evacuation, waiting func() bool) error {
	result, err := s.proposeEvacuation(ctx, e, waiting)
	if err != nil {
		eventer.EvacuationUndecided.Log(s.clock(), "center", e.GetCenter(), "out", e.GetOut(), "author", e.GetAuthor(), "after", e.GetAfter(), "error", err.Error())
		return err
	}
	eventer.EvacuationDecided.Log(s.clock(), "center", e.GetCenter(), "out", e.GetOut(), "author", e.GetAuthor(), "after", e.GetAfter(),
		"changed", result.GetChanged())
	return nil
}

// proposeEvacuation proposes an order until it is decided, fails or is abandoned by its author.
func (s *Store) proposeEvacuation(ctx context.Context, e *statev1.Evacuation, waiting func() bool) (*statev1.EvacuationResult, error) {
	for {
		if err := s.log.Barrier(ctx); err != nil {
			return nil, oops.In("store").Wrapf(err, "read the newest order")
		}
		e.After = proto.Uint64(s.newestOrder(e.GetCenter()))
		if !waiting() {
			return nil, oops.In("store").Wrap(ErrAuthorGone)
		}
		result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Evacuation{Evacuation: e}})
		if err != nil {
			return nil, err
		}
		if !result.GetEvacuation().GetOvertaken() {
			return result.GetEvacuation(), nil
		}
		if ctx.Err() != nil {
			return nil, oops.In("store").Wrap(errors.Join(ErrOvertaken, ctx.Err()))
		}
	}
}
