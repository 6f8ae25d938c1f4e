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
	// maxBody bounds a patch, in bytes.
	maxBody = 1 << 20
	// maxDocument bounds the document, in bytes. 4,096 hosts and as many services take about 1 MiB.
	maxDocument = 2 << 20
	// maxFaults bounds the faults in a result, so that a patch full of faults does not fill the audit trail.
	maxFaults = 200
)

// Machine is the replicated state machine of the configuration. It is not safe for concurrent use:
// the replicated log applies one command after the other.
type Machine struct {
	history history
	trail   trail
	// estimate is an upper bound of the document's size in bytes.
	estimate int
	largest  int
}

// Option changes a machine.
type Option func(*Machine)

// WithVersions sets the number of newest versions kept.
func WithVersions(n int) Option {
	return func(m *Machine) { m.history.keep = n }
}

// WithAudits sets how many audit entries, and how many bytes of them, are kept.
func WithAudits(n, bytes int) Option {
	return func(m *Machine) { m.trail.keep, m.trail.bytes = n, bytes }
}

// WithDocument sets the size of the largest document, in bytes.
func WithDocument(bytes int) Option {
	return func(m *Machine) { m.largest = bytes }
}

// New returns a machine whose version 1 is the empty document.
func New(options ...Option) *Machine {
	m := &Machine{
		history:  newHistory(DefaultVersions),
		estimate: len("{}"), largest: maxDocument,
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

// Audits returns at most limit of the newest audit entries that concern versions of at least from, the oldest
// entry first. A limit of zero means all.
func (m *Machine) Audits(from uint64, limit int) []*statev1.Audit {
	return m.trail.list(from, limit)
}

// Apply decides a patch. A resend with the same identity gets the first result; a dry patch changes nothing.
func (m *Machine) Apply(p *statev1.Patch, now time.Time) *statev1.PatchResult {
	if p.GetDry() {
		result, _, _ := m.decide(p, now)
		return result
	}
	if first, ok := m.trail.first(p.GetId()); ok {
		if proto.Equal(first.GetPatch(), p) {
			return first.GetResult()
		}
		return m.audit(p, m.reused(p), now)
	}
	result, version, tree := m.decide(p, now)
	if version != nil {
		m.accept(version, tree)
	}
	return m.audit(p, result, now)
}

// Difference returns the merge patch between two kept versions; to is the newest version when it is zero.
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

func (m *Machine) reused(p *statev1.Patch) *statev1.PatchResult {
	return &statev1.PatchResult{
		Id: p.GetId(), Verdict: statev1.Verdict_VERDICT_REUSED, Version: m.history.newest(),
		Faults: []string{"the identity belongs to an earlier patch with another content; submit this one under a new identity"},
	}
}

// accept appends a version. One patch makes one version, and versions only grow.
func (m *Machine) accept(v *statev1.Version, tree map[string]any) {
	if v.GetNumber() != m.history.newest()+1 {
		panic(fmt.Sprintf("invariant versions_grow: version %d after %d", v.GetNumber(), m.history.newest()))
	}
	if err := m.history.add(v, tree); err != nil {
		panic(fmt.Sprintf("invariant document_encodes: %v", err)) // The tree was decoded from JSON.
	}
}

func (m *Machine) decide(p *statev1.Patch, now time.Time) (*statev1.PatchResult, *statev1.Version, map[string]any) {
	current := m.history.newest()
	result := &statev1.PatchResult{Id: p.GetId(), Version: current}
	if p.GetBase() != current {
		result.Verdict = statev1.Verdict_VERDICT_CONFLICT
		if d, err := m.Difference(p.GetBase(), current); err == nil {
			result.Difference = d
		}
		return result, nil, nil
	}
	tree, change, err := m.merged(p)
	if err != nil {
		result.Verdict = statev1.Verdict_VERDICT_INVALID
		result.Faults = texts(err)
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

// merged returns the checked document that a patch makes and the change that it is.
func (m *Machine) merged(p *statev1.Patch) (tree map[string]any, change []byte, err error) {
	if tree, err = m.change(p); err != nil {
		return nil, nil, err
	}
	step := difference(m.history.tree, tree)
	faults, err := checkChange(m.history.tree, tree, step)
	if err != nil {
		return nil, nil, err
	}
	if len(faults) > 0 {
		return nil, nil, faults
	}
	if change, err = encode(step); err != nil {
		return nil, nil, err
	}
	return tree, change, m.measure(tree, change)
}

// measure refuses a document that is too large. The size is counted only when the sum of the changes since the last
// count could exceed the bound. The estimate is the same on hosts that restored a snapshot and on those that did
// not as far as the verdict goes, because the verdict comes from the count alone.
func (m *Machine) measure(tree map[string]any, change []byte) error {
	m.estimate += len(change)
	if m.estimate <= m.largest {
		return nil
	}
	document, err := encode(tree)
	if err != nil {
		return err
	}
	m.estimate = len(document)
	if len(document) > m.largest {
		return oops.In("configurator").Errorf("the document would have %d bytes; at most %d are permitted", len(document), m.largest)
	}
	return nil
}

func (m *Machine) change(p *statev1.Patch) (map[string]any, error) {
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

// texts returns the lines for the operator; faults beyond maxFaults are counted.
func texts(err error) []string {
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
