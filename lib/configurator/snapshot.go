package configurator

import (
	"github.com/samber/oops"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Save writes the machine's state to a snapshot. The messages are shared and must not be modified.
func (m *Machine) Save(state *statev1.State) {
	state.Versions = append(state.Versions, m.history.versions...)
	state.Audits = append(state.Audits, m.trail.audits...)
}

// Load replaces the machine's state with that of a snapshot.
func (m *Machine) Load(state *statev1.State) error {
	versions := state.GetVersions()
	if len(versions) == 0 || len(versions[0].GetDocument()) == 0 {
		return oops.In("configurator").Errorf("the snapshot does not begin with a version that holds its document")
	}
	for i, v := range versions {
		if v.GetNumber() != versions[0].GetNumber()+uint64(i) {
			return oops.In("configurator").Errorf("the snapshot has version %d at offset %d from version %d", v.GetNumber(), i, versions[0].GetNumber())
		}
	}
	h := newHistory(m.history.keep)
	h.versions = versions
	if err := h.rebuild(); err != nil {
		return err
	}
	m.history, m.estimate = h, m.maxSize
	m.trail = trail{keep: m.trail.keep, bytes: m.trail.bytes, results: make(map[string]*statev1.Audit)}
	for _, a := range state.GetAudits() {
		m.trail.add(a)
	}
	return nil
}
