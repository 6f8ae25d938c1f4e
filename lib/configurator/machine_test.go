package configurator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/configurator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1_700_000_000, 0)

func patch(id string, base uint64, body string) *statev1.Patch {
	return &statev1.Patch{Id: id, Base: base, Body: []byte(body), Author: "ana", Reason: "test"}
}

// Guards against accepting two patches with the same base version, and against a conflict that does not report what
// changed.
func TestRacingPatchesOneWins(t *testing.T) {
	m := configurator.New()
	first := m.Apply(patch("a", 1, `{"centers":{"gal-1":{"region":"gal"}}}`), start)
	qt.Assert(t, first.GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_ACCEPTED)
	second := m.Apply(patch("b", 1, `{"centers":{"gal-2":{"region":"gal"}}}`), start)
	qt.Assert(t, second.GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_CONFLICT)
	qt.Assert(t, second.GetVersion(), qt.Equals, uint64(2))
	qt.Assert(t, string(second.GetDifference()), qt.Equals, `{"centers":{"gal-1":{"region":"gal"}}}`)
	qt.Assert(t, m.Audits(0, 0), qt.HasLen, 2)
}

// Guards against applying a resent patch twice, and against accepting two patches with the same identity.
func TestIdentity(t *testing.T) {
	m := configurator.New()
	first := m.Apply(patch("a", 1, `{"centers":{"gal-1":{"region":"gal"}}}`), start)
	again := m.Apply(patch("a", 1, `{"centers":{"gal-1":{"region":"gal"}}}`), start.Add(time.Hour))
	qt.Assert(t, proto.Equal(first, again), qt.IsTrue)
	other := m.Apply(patch("a", 2, `{"centers":{"gal-2":{"region":"gal"}}}`), start)
	qt.Assert(t, other.GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_REUSED)
	qt.Assert(t, m.Current().GetNumber(), qt.Equals, uint64(2))
	qt.Assert(t, proto.Equal(first, m.Apply(patch("a", 1, `{"centers":{"gal-1":{"region":"gal"}}}`), start)), qt.IsTrue)
}

// Guards against applying a patch a second time after its identity has been removed from the audit trail.
func TestForgottenIdentityIsNeverAppliedAgain(t *testing.T) {
	m := configurator.New(configurator.WithAudits(2, 1<<20))
	forgotten := patch("a", 1, `{"centers":{"gal-1":{"region":"gal"}}}`)
	m.Apply(forgotten, start)
	for i := uint64(2); i < 6; i++ {
		m.Apply(patch(fmt.Sprint(i), i, `{"centers":{"gal-1":null}}`), start)
	}
	qt.Assert(t, m.Apply(forgotten, start).GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_CONFLICT)
	qt.Assert(t, m.Current().GetNumber(), qt.Equals, uint64(6))
}

// Guards against a check that stops at the first fault, or whose order of faults differs between hosts.
func TestEveryFaultIsListed(t *testing.T) {
	body := `{"zone":1,"alpha":2,"centers":{"gal-1":{"region":"GAL"}},
		"hosts":{"a":{"center":"x","address":"1.2.3.4:1"},"b":{"center":"gal-1","address":"1.2.3.4:1"},"c":{"center":3}}}`
	want := []string{
		": additional properties 'alpha', 'zone' not allowed", "centers.gal-1.region: ", "hosts.c: missing property 'address'",
		"hosts.c.center: got number, want string", "hosts.a.center: unknown data centre x", "hosts.b.address: is also hosts.a.address",
	}
	for range 20 {
		faults := configurator.New().Apply(patch("a", 1, body), start).GetFaults()
		qt.Assert(t, faults, qt.HasLen, len(want))
		for i := range want {
			qt.Assert(t, strings.HasPrefix(faults[i], want[i]), qt.IsTrue, qt.Commentf("%s", faults[i]))
		}
	}
}

// Guards against accepting more than seven control hosts.
func TestAtMostSevenControlHosts(t *testing.T) {
	entry := func(i int) string {
		return fmt.Sprintf(`"c%d":{"center":"gal-1","address":"10.0.0.%d:1","operators":"10.0.0.%d:2"}`, i, i+1, i+1)
	}
	document := func(n int) string {
		var entries []string
		for i := range n {
			entries = append(entries, entry(i))
		}
		return `{"centers":{"gal-1":{"region":"gal"}},"control":{` + strings.Join(entries, ",") + `}}`
	}
	qt.Assert(t, configurator.New().Apply(patch("a", 1, document(7)), start).GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_ACCEPTED)
	qt.Assert(t, configurator.New().Apply(patch("a", 1, document(8)), start).GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_INVALID)
}

// Guards against a rollback that changes earlier versions, and against a dry run that changes the state.
func TestRollbackAndDryRun(t *testing.T) {
	m := configurator.New()
	m.Apply(patch("a", 1, `{"centers":{"gal-1":{"region":"gal"}}}`), start)
	m.Apply(patch("b", 2, `{"centers":{"gal-1":{"out":true}}}`), start)
	rollback := &statev1.Patch{Id: "c", Base: 3, Rollback: 2, Author: "ana", Dry: true}
	qt.Assert(t, m.Apply(rollback, start).GetVersion(), qt.Equals, uint64(4))
	qt.Assert(t, m.Current().GetNumber(), qt.Equals, uint64(3))
	qt.Assert(t, m.Audits(0, 0), qt.HasLen, 2)
	rollback = proto.CloneOf(rollback)
	rollback.Dry = false
	m.Apply(rollback, start)
	qt.Assert(t, string(m.Current().GetDocument()), qt.Equals, `{"centers":{"gal-1":{"region":"gal"}}}`)
}

// Guards against merge patches that differ from RFC 7396 as implemented by a widely used library.
func TestDifferenceAgreesWithTheLibrary(t *testing.T) {
	m := configurator.New()
	m.Apply(patch("a", 1, `{"centers":{"gal-1":{"region":"gal"},"gal-2":{"region":"gal","out":true}},"services":{"desk":{"hedge":0.050}}}`), start)
	m.Apply(patch("b", 2, `{"centers":{"gal-1":null,"gal-2":{"out":null}},"services":{"desk":{"tenants":{}}}}`), start)
	a, _ := m.Version(2)
	b, _ := m.Version(3)
	d, err := m.Difference(2, 3)
	qt.Assert(t, err, qt.IsNil)
	out, err := jsonpatch.MergePatch(a.GetDocument(), d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, jsonpatch.Equal(out, b.GetDocument()), qt.IsTrue)
}

// Guards against a document that exceeds the size limit, as its size is not measured at every change.
func TestDocumentSizeIsBounded(t *testing.T) {
	const maxSize = 400
	m := configurator.New(configurator.WithMaxDocumentSize(maxSize))
	for i := range 40 {
		before := len(m.Current().GetDocument())
		body := fmt.Sprintf(`{"centers":{"gal-%02d":{"region":"gal"}}}`, i%20)
		if i%3 == 2 {
			body = fmt.Sprintf(`{"centers":{"gal-%02d":null}}`, i%20-1)
		}
		r := m.Apply(patch(fmt.Sprint(i), m.Current().GetNumber(), body), start)
		accepted := r.GetVerdict() == statev1.Verdict_VERDICT_ACCEPTED
		qt.Assert(t, accepted || before > maxSize-len(body), qt.IsTrue, qt.Commentf("%v", r))
		qt.Assert(t, len(m.Current().GetDocument()) <= maxSize, qt.IsTrue)
	}
}
