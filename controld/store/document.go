package store

import (
	"context"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/eventer"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// notifyChanged wakes the waiters for changes of the state that hosts follow.
func (m *Machine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) applyDocument(d *statev1.Document, now time.Time) *statev1.Result {
	result := m.documents.Apply(d, now)
	if result.GetApplied() {
		m.notifyChanged()
	}
	return &statev1.Result{Kind: &statev1.Result_Document{Document: result}}
}

// Put replaces the document in force if the new version is higher than all earlier ones. The document must have been
// validated.
func (s *Store) Put(ctx context.Context, d *statev1.Document) (*statev1.DocumentResult, error) {
	result, err := s.propose(ctx, &statev1.Command{Kind: &statev1.Command_Document{Document: d}})
	if err != nil {
		eventer.DocumentUndecided.Log(s.clock(), "version", d.GetVersion(), "author", d.GetAuthor(), "error", err.Error())
		return nil, err
	}
	out := result.GetDocument()
	eventer.DocumentDecided.Log(s.clock(), "version", d.GetVersion(), "author", d.GetAuthor(), "applied", out.GetApplied(),
		"inforce", out.GetVersion(), "bytes", len(d.GetBody()))
	return out, nil
}

// Document returns the document in force, or nil when there is none. The read is linearizable.
func (s *Store) Document(ctx context.Context) (*statev1.Document, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.documents.Current(), nil
}

// Current returns the document in force in the local state, or nil when there is none. It works without a majority.
func (s *Store) Current() *statev1.Document {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.documents.Current()
}

// Changes returns the audit trail of documents and evacuations, oldest entry first. The read is linearizable.
func (s *Store) Changes(ctx context.Context) ([]*statev1.Change, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, oops.In("store").Wrapf(err, "read the newest state")
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return append([]*statev1.Change(nil), s.machine.documents.Changes()...), nil
}
