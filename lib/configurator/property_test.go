package configurator_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lycheelift.example/lib/configurator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run with random seeds and more cases")

// TestMain sets a fixed seed for the property tests unless -soak is given.
func TestMain(m *testing.M) {
	flag.Parse()
	values := map[string]string{"rapid.seed": "5001"}
	if *soak {
		values = map[string]string{"rapid.checks": "5000"}
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model is the expected state of the machine: the documents by version, and the first result of each patch identity.
type model struct {
	documents []string
	results   map[string]*statev1.PatchResult
	patches   map[string]*statev1.Patch
}

func restore(t *rapid.T, m *configurator.Machine, options ...configurator.Option) *configurator.Machine {
	state := &statev1.State{}
	m.Save(state)
	data, err := proto.Marshal(state)
	assert(t, err, qt.IsNil)
	state = &statev1.State{}
	assert(t, proto.Unmarshal(data, state), qt.IsNil)
	out := configurator.New(options...)
	assert(t, out.Load(state), qt.IsNil)
	return out
}

// Guards against versions that change after their creation, decrease or have gaps, against applying a resend twice, and
// against losing any of these properties through a snapshot and restore at any point.
func TestMachineKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := configurator.WithVersions(rapid.IntRange(1, 70).Draw(t, "keep"))
		m := configurator.New(keep)
		want := &model{documents: []string{"", "{}"}, results: make(map[string]*statev1.PatchResult), patches: make(map[string]*statev1.Patch)}
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			if rapid.IntRange(0, 30).Draw(t, "crash") == 0 {
				m = restore(t, m, keep)
			}
			p := drawPatch(t, i, m)
			want.apply(t, m, p)
		}
		want.compare(t, restore(t, m, keep))
	})
}

func drawPatch(t *rapid.T, step int, m *configurator.Machine) *statev1.Patch {
	current := m.Current().GetNumber()
	p := patch(fmt.Sprintf("p%d", step), current, "")
	if rapid.IntRange(0, 4).Draw(t, "resend") == 0 {
		p.Id = fmt.Sprintf("p%d", rapid.IntRange(0, step).Draw(t, "earlier"))
	}
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		p.Base = rapid.Uint64Range(0, current+1).Draw(t, "base")
	}
	if rapid.IntRange(0, 9).Draw(t, "rollback") == 0 {
		p.Rollback = rapid.Uint64Range(1, current).Draw(t, "target")
		return p
	}
	p.Body = []byte(rapid.SampledFrom([]string{
		`{"centers":{"gal-1":{"region":"gal"}}}`, `{"centers":{"gal-1":{"region":"gal","out":true}}}`,
		`{"centers":{"gal-2":{"region":"gal"}}}`, `{"centers":{"gal-1":null}}`, `{"centers":null}`,
		`{"services":{"desk":{"hedge":0.05}}}`, `{"services":{"desk":{"tenants":{}}}}`, `{"services":{"desk":null}}`,
		`{"hosts":{"a":{"center":"gal-1","address":"10.0.0.1:1"}}}`, `{"hosts":null}`, `{"hosts":{"a":{"center":"gal-2"}}}`, `{"services":{"desk":{"slots":2.0}}}`, `{"centers":3}`, `{"centers":{"gal-1":3}}`, `{"zone":1}`, `{`, `[]`, `{}`,
	}).Draw(t, "body"))
	return p
}

func (w *model) apply(t *rapid.T, m *configurator.Machine, p *statev1.Patch) {
	before := m.Current().GetNumber()
	document := m.Current().GetDocument()
	result := m.Apply(p, start.Add(time.Second))
	after := m.Current().GetNumber()
	first, seen := w.patches[p.GetId()]
	switch {
	case seen && proto.Equal(first, p):
		assert(t, proto.Equal(result, w.results[p.GetId()]), qt.IsTrue)
		assert(t, after, qt.Equals, before)
		return
	case seen:
		assert(t, result.GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_REUSED)
		assert(t, after, qt.Equals, before)
		return
	}
	w.patches[p.GetId()], w.results[p.GetId()] = p, result
	accepted := result.GetVerdict() == statev1.Verdict_VERDICT_ACCEPTED
	assert(t, accepted, qt.Equals, after == before+1)
	assert(t, p.GetBase() != before, qt.Equals, result.GetVerdict() == statev1.Verdict_VERDICT_CONFLICT)
	if accepted {
		_, err := configurator.Parse(m.Current().GetDocument())
		assert(t, err, qt.IsNil)
	}
	if result.GetVerdict() == statev1.Verdict_VERDICT_INVALID && p.GetRollback() == 0 {
		// The check of a change must not reject a document that the full check accepts.
		if patched, err := jsonpatch.MergePatch(document, p.GetBody()); err == nil {
			_, err = configurator.Parse(patched)
			assert(t, err, qt.IsNotNil)
		}
	}
	if accepted {
		w.documents = append(w.documents, string(m.Current().GetDocument()))
	}
	if accepted && p.GetRollback() != 0 {
		assert(t, w.documents[after], qt.Equals, w.documents[p.GetRollback()])
	}
}

func (w *model) compare(t *rapid.T, m *configurator.Machine) {
	newest := m.Current().GetNumber()
	assert(t, newest, qt.Equals, uint64(len(w.documents)-1))
	for number := m.Oldest(); number <= newest; number++ {
		v, ok := m.Version(number)
		assert(t, ok, qt.IsTrue)
		assert(t, string(v.GetDocument()), qt.Equals, w.documents[number])
	}
}

// assert is the equivalent of qt.Assert for rapid.T, which is not a testing.TB.
func assert(t *rapid.T, got any, c qt.Checker, args ...any) {
	t.Helper()
	if err := c.Check(got, args, func(string, any) {}); err != nil {
		t.Fatalf("%v: got %v, want %v", err, got, args)
	}
}
