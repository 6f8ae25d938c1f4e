package registrar

import (
	"slices"

	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// message returns the entry in the form of the log.
func (e *entry) message() *statev1.Entry {
	return &statev1.Entry{
		Begin: &statev1.Begin{
			Tenant: e.name.tenant, Key: e.name.key, Issued: timestamppb.New(e.issued), Attempt: e.attempt, Fingerprint: e.fingerprint,
		},
		Phase: e.phase, Response: e.decoded(),
	}
}

// Frozen is a copy of a ledger at one command. Encoding a full ledger takes a few hundred milliseconds, in which the
// ledger itself goes on deciding.
type Frozen struct{ entries []entry }

// Freeze copies the ledger.
func (l *Ledger) Freeze() *Frozen {
	out := &Frozen{entries: make([]entry, 0, len(l.queue))}
	for _, e := range l.queue {
		out.entries = append(out.entries, *e)
	}
	return out
}

// Save puts the copy into a snapshot, in an order that is the same on every host.
func (f *Frozen) Save(state *statev1.State) {
	slices.SortFunc(f.entries, func(a, b entry) int { return compare(&a, &b) })
	for i := range f.entries {
		state.Entries = append(state.Entries, f.entries[i].message())
	}
}

// Save puts the ledger into a snapshot.
func (l *Ledger) Save(state *statev1.State) {
	l.Freeze().Save(state)
}

// Load replaces the ledger by that of a snapshot. Entries are taken whatever their size, because a ledger that
// forgets a key would let it run again.
func (l *Ledger) Load(state *statev1.State) error {
	fresh := &Ledger{limit: l.limit, entries: make(map[name]*entry, len(state.GetEntries()))}
	for _, m := range state.GetEntries() {
		b := m.GetBegin()
		e := &entry{
			name: name{b.GetTenant(), b.GetKey()}, issued: b.GetIssued().AsTime(), attempt: b.GetAttempt(),
			fingerprint: b.GetFingerprint(), phase: m.GetPhase(),
		}
		if _, ok := fresh.entries[e.name]; ok || e.phase == statev1.Phase_PHASE_UNSPECIFIED {
			return oops.In("registrar").Errorf("the snapshot's entry for key %q of tenant %q is damaged", b.GetKey(), b.GetTenant())
		}
		if e.phase == statev1.Phase_PHASE_FINISHED {
			e.response = Bounded(m.GetResponse())
		}
		fresh.insert(e)
	}
	*l = *fresh
	return nil
}
