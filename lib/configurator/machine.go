package configurator

import (
	"bytes"
	"errors"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/checker"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Machine is the replicated state machine of the configuration. It is not safe for concurrent use:
// the replicated log applies one command after the other.
type Machine struct {
	versions []*statev1.Version
	audits   []*statev1.Audit
	results  map[string]*statev1.PatchResult
}

// New returns a machine whose version 1 is the empty document.
func New() *Machine {
	return &Machine{
		versions: []*statev1.Version{{Number: 1, Document: []byte("{}"), Difference: []byte("{}")}},
		results:  make(map[string]*statev1.PatchResult),
	}
}

// Current returns the newest version.
func (m *Machine) Current() *statev1.Version {
	return m.versions[len(m.versions)-1]
}

// Version returns a version by number.
func (m *Machine) Version(number uint64) (*statev1.Version, bool) {
	for _, v := range m.versions {
		if v.GetNumber() == number {
			return v, true
		}
	}
	return nil, false
}

// Audits returns the audit trail, the oldest entry first.
func (m *Machine) Audits() []*statev1.Audit {
	return m.audits
}

// Apply decides a patch. A resend with the same identity gets the first result.
func (m *Machine) Apply(p *statev1.Patch, now time.Time) *statev1.PatchResult {
	if r, ok := m.results[p.GetId()]; ok {
		return r
	}
	result, version := m.decide(p, now)
	if p.GetDry() {
		return result
	}
	if result.GetVerdict() == statev1.Verdict_VERDICT_ACCEPTED {
		m.versions = append(m.versions, version)
	}
	m.results[p.GetId()] = result
	m.audits = append(m.audits, &statev1.Audit{Time: timestamppb.New(now), Patch: p, Result: result})
	return result
}

func (m *Machine) decide(p *statev1.Patch, now time.Time) (*statev1.PatchResult, *statev1.Version) {
	current := m.Current()
	result := &statev1.PatchResult{Id: p.GetId(), Version: current.GetNumber()}
	if p.GetBase() != current.GetNumber() {
		result.Verdict = statev1.Verdict_VERDICT_CONFLICT
		if base, ok := m.Version(p.GetBase()); ok {
			result.Difference = difference(base.GetDocument(), current.GetDocument())
		}
		return result, nil
	}
	document, err := m.merge(p, current)
	if err == nil {
		_, err = Parse(document)
	}
	if err != nil {
		result.Verdict = statev1.Verdict_VERDICT_INVALID
		result.Faults = texts(err)
		return result, nil
	}
	result.Verdict = statev1.Verdict_VERDICT_ACCEPTED
	result.Version = current.GetNumber() + 1
	result.Difference = difference(current.GetDocument(), document)
	return result, &statev1.Version{
		Number: result.GetVersion(), Time: timestamppb.New(now), Author: p.GetAuthor(), Reason: p.GetReason(),
		Patch: p.GetId(), Document: document, Difference: result.GetDifference(),
	}
}

func (m *Machine) merge(p *statev1.Patch, current *statev1.Version) ([]byte, error) {
	if p.GetRollback() != 0 {
		v, ok := m.Version(p.GetRollback())
		if !ok {
			return nil, oops.In("configurator").Errorf("version %d is not kept", p.GetRollback())
		}
		return v.GetDocument(), nil
	}
	if !bytes.HasPrefix(bytes.TrimSpace(p.GetBody()), []byte("{")) {
		return nil, oops.In("configurator").Errorf("a patch must be a JSON object")
	}
	out, err := jsonpatch.MergePatch(current.GetDocument(), p.GetBody())
	if err != nil {
		return nil, oops.In("configurator").Wrapf(err, "the patch cannot be merged")
	}
	return out, nil
}

// difference returns the merge patch between two documents; documents in the history are always valid JSON.
func difference(from, to []byte) []byte {
	out, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil
	}
	return out
}

func texts(err error) []string {
	var faults checker.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	out := make([]string, 0, len(faults))
	for _, f := range faults {
		out = append(out, f.Key+": "+f.Text)
	}
	return out
}
