package registrar

import (
	"slices"

	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// message returns the entry as a protocol message.
func (e *entry) message() *statev1.Entry {
	return &statev1.Entry{
		Begin: &statev1.Begin{
			Tenant: e.id.tenant, Key: e.id.key, Issued: timestamppb.New(e.issued), Attempt: e.attempt, Fingerprint: e.fingerprint,
		},
		Phase: e.phase, Response: e.decodedResponse(),
	}
}

// Frozen is a copy of a ledger at one point in the log. Encoding a full ledger takes a few hundred milliseconds; the
// copy allows the ledger to apply commands meanwhile.
type Frozen struct{ entries []entry }

// Freeze copies the ledger.
func (l *Ledger) Freeze() *Frozen {
	out := &Frozen{entries: make([]entry, 0, len(l.queue))}
	for _, e := range l.queue {
		out.entries = append(out.entries, *e)
	}
	return out
}

// Save writes the copy to a snapshot, in an order that is the same on every host.
func (f *Frozen) Save(state *statev1.State) {
	slices.SortFunc(f.entries, func(a, b entry) int { return compare(&a, &b) })
	for i := range f.entries {
		state.Entries = append(state.Entries, f.entries[i].message())
	}
}

// Save writes the ledger to a snapshot.
func (l *Ledger) Save(state *statev1.State) {
	l.Freeze().Save(state)
}

// Load replaces the content of the ledger with that of a snapshot. The memory limit does not apply, because dropping a
// key would allow its request to run again.
func (l *Ledger) Load(state *statev1.State) error {
	loaded := &Ledger{limit: l.limit, entries: make(map[keyID]*entry, len(state.GetEntries()))}
	for _, m := range state.GetEntries() {
		b := m.GetBegin()
		e := &entry{
			id: keyID{b.GetTenant(), b.GetKey()}, issued: b.GetIssued().AsTime(), attempt: b.GetAttempt(),
			fingerprint: b.GetFingerprint(), phase: m.GetPhase(),
		}
		if _, ok := loaded.entries[e.id]; ok || e.phase == statev1.Phase_PHASE_UNSPECIFIED {
			return oops.In("registrar").Errorf("the snapshot's entry for key %q of tenant %q is damaged", b.GetKey(), b.GetTenant())
		}
		if e.phase == statev1.Phase_PHASE_FINISHED {
			e.response = EncodeResponse(m.GetResponse())
		}
		loaded.insert(e)
	}
	*l = *loaded
	return nil
}
