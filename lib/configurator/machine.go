package configurator

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/checker"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// maxBody is the maximum size of a patch in bytes.
	maxBody = 1 << 20
	// maxDocument is the default maximum size of the document in bytes. 4,096 hosts and as many services take about
	// 1 MiB.
	maxDocument = 2 << 20
	// maxFaults is the maximum number of faults in a result, so that a patch with many faults does not fill the audit
	// trail.
	maxFaults = 200
)

// Machine is the replicated state machine of the configuration. It is not safe for concurrent use:
// the replicated log applies commands one after the other.
type Machine struct {
	history history
	trail   trail
	// estimate is an upper bound of the document's size in bytes.
	estimate int
	maxSize  int
}

// Option configures a machine.
type Option func(*Machine)

// WithVersions sets the number of newest versions kept.
func WithVersions(n int) Option {
	return func(m *Machine) { m.history.keep = n }
}

// WithAudits sets the maximum number of audit entries and their maximum total size in bytes.
func WithAudits(n, bytes int) Option {
	return func(m *Machine) { m.trail.keep, m.trail.bytes = n, bytes }
}

// WithMaxDocumentSize sets the maximum size of the document in bytes.
func WithMaxDocumentSize(bytes int) Option {
	return func(m *Machine) { m.maxSize = bytes }
}

// New returns a machine whose version 1 is the empty document.
func New(options ...Option) *Machine {
	m := &Machine{
		history:  newHistory(DefaultVersions),
		estimate: len("{}"), maxSize: maxDocument,
		trail: trail{keep: DefaultAudits, bytes: DefaultAuditBytes, results: make(map[string]*statev1.Audit)},
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Current returns the newest version.
func (m *Machine) Current() *statev1.Version {
	return m.history.current()
}

// Version returns a version by number, if it is still kept.
func (m *Machine) Version(number uint64) (*statev1.Version, bool) {
	return m.history.version(number)
}

// Oldest returns the number of the oldest version kept.
func (m *Machine) Oldest() uint64 {
	return m.history.versions[0].GetNumber()
}

// Audits returns at most limit of the newest audit entries whose version is at least from, oldest first. A limit of
// zero means all.
func (m *Machine) Audits(from uint64, limit int) []*statev1.Audit {
	return m.trail.list(from, limit)
}

// Apply validates and applies a patch. A resend with the same identity gets the first result. A dry-run patch is only
// validated.
func (m *Machine) Apply(p *statev1.Patch, now time.Time) *statev1.PatchResult {
	if p.GetDry() {
		result, _, _ := m.evaluate(p, now)
		return result
	}
	if first, ok := m.trail.firstDecision(p.GetId()); ok {
		if proto.Equal(first.GetPatch(), p) {
			return first.GetResult()
		}
		return m.audit(p, m.reusedResult(p), now)
	}
	result, version, tree := m.evaluate(p, now)
	if version != nil {
		m.appendVersion(version, tree)
	}
	return m.audit(p, result, now)
}

// Difference returns the merge patch between two versions; a to of zero means the newest version.
func (m *Machine) Difference(from, to uint64) ([]byte, error) {
	if to == 0 {
		to = m.history.newest()
	}
	a, ok := m.tree(from)
	if !ok {
		return nil, m.notKept(from)
	}
	b, ok := m.tree(to)
	if !ok {
		return nil, m.notKept(to)
	}
	return encode(difference(a, b))
}

func (m *Machine) audit(p *statev1.Patch, result *statev1.PatchResult, now time.Time) *statev1.PatchResult {
	m.trail.add(&statev1.Audit{Time: timestamppb.New(now), Patch: p, Result: result})
	return result
}

func (m *Machine) reusedResult(p *statev1.Patch) *statev1.PatchResult {
	return &statev1.PatchResult{
		Id: p.GetId(), Verdict: statev1.Verdict_VERDICT_REUSED, Version: m.history.newest(),
		Faults: []string{"the identity belongs to an earlier patch with another content; submit this one under a new identity"},
	}
}

// appendVersion appends a version. Each accepted patch makes one version, and version numbers only increase.
func (m *Machine) appendVersion(v *statev1.Version, tree map[string]any) {
	if v.GetNumber() != m.history.newest()+1 {
		panic(fmt.Sprintf("invariant versions_grow: version %d after %d", v.GetNumber(), m.history.newest()))
	}
	if err := m.history.add(v, tree); err != nil {
		panic(fmt.Sprintf("invariant document_encodes: %v", err)) // The tree was decoded from JSON.
	}
}

func (m *Machine) evaluate(p *statev1.Patch, now time.Time) (*statev1.PatchResult, *statev1.Version, map[string]any) {
	current := m.history.newest()
	result := &statev1.PatchResult{Id: p.GetId(), Version: current}
	if p.GetBase() != current {
		result.Verdict = statev1.Verdict_VERDICT_CONFLICT
		if d, err := m.Difference(p.GetBase(), current); err == nil {
			result.Difference = d
		}
		return result, nil, nil
	}
	tree, change, err := m.mergeAndCheck(p)
	if err != nil {
		result.Verdict = statev1.Verdict_VERDICT_INVALID
		result.Faults = faultLines(err)
		return result, nil, nil
	}
	result.Verdict = statev1.Verdict_VERDICT_ACCEPTED
	result.Version = current + 1
	result.Difference = change
	return result, &statev1.Version{
		Number: result.GetVersion(), Time: timestamppb.New(now), Author: p.GetAuthor(), Reason: p.GetReason(),
		Patch: p.GetId(), Difference: change,
	}, tree
}

// mergeAndCheck applies a patch, validates the resulting document and returns it with the difference from the current
// one.
func (m *Machine) mergeAndCheck(p *statev1.Patch) (tree map[string]any, change []byte, err error) {
	if tree, err = m.patchedTree(p); err != nil {
		return nil, nil, err
	}
	delta := difference(m.history.tree, tree)
	faults, err := checkChange(m.history.tree, tree, delta)
	if err != nil {
		return nil, nil, err
	}
	if len(faults) > 0 {
		return nil, nil, faults
	}
	if change, err = encode(delta); err != nil {
		return nil, nil, err
	}
	return tree, change, m.checkSize(tree, change)
}

// checkSize rejects a document that is too large. The document is encoded and its size measured only when the changes
// since the last measurement could have made it exceed the limit. The estimate may differ between hosts that restored a
// snapshot and those that did not, but the result is the same, because only the measured size leads to a rejection.
func (m *Machine) checkSize(tree map[string]any, change []byte) error {
	m.estimate += len(change)
	if m.estimate <= m.maxSize {
		return nil
	}
	document, err := encode(tree)
	if err != nil {
		return err
	}
	m.estimate = len(document)
	if len(document) > m.maxSize {
		return oops.In("configurator").Errorf("the document would have %d bytes; at most %d are permitted", len(document), m.maxSize)
	}
	return nil
}

func (m *Machine) patchedTree(p *statev1.Patch) (map[string]any, error) {
	if p.GetRollback() != 0 {
		tree, ok := m.tree(p.GetRollback())
		if !ok {
			return nil, m.notKept(p.GetRollback())
		}
		return tree, nil
	}
	if len(p.GetBody()) > maxBody {
		return nil, oops.In("configurator").Errorf("the patch has %d bytes; at most %d are permitted", len(p.GetBody()), maxBody)
	}
	body, err := decode(p.GetBody())
	if err != nil {
		return nil, oops.In("configurator").Wrapf(err, "the patch must be one JSON object")
	}
	return merge(m.history.tree, body), nil
}

func (m *Machine) tree(number uint64) (map[string]any, bool) {
	if number == m.history.newest() {
		return m.history.tree, true
	}
	if number < m.Oldest() || number > m.history.newest() {
		return nil, false
	}
	return m.history.document(number - m.Oldest())
}

func (m *Machine) notKept(number uint64) error {
	return oops.In("configurator").Errorf("version %d is not kept; versions %d to %d are", number, m.Oldest(), m.history.newest())
}

// faultLines returns an error as lines for the operator. At most maxFaults faults are listed; the rest are counted.
func faultLines(err error) []string {
	var faults checker.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	out := make([]string, 0, len(faults))
	for _, f := range faults {
		if len(out) == maxFaults {
			return append(out, fmt.Sprintf("and %d more faults", len(faults)-maxFaults))
		}
		out = append(out, f.Key+": "+f.Text)
	}
	return out
}
