package configurator_test

import (
	"testing"

	"lycheelift.example/lib/configurator"
)

// FuzzPatch guards against a patch that causes a panic, and against an accepted patch that makes an invalid document.
func FuzzPatch(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `{"centers":{"a":{"region":"r"}}}`, `{"hosts":{"h":{"center":"a","address":"127.0.0.1:1"}}}`,
		`{"services":{"s":{"hedge":0.5,"slots":2.0}}}`, `{"centers":null,"x":1}`, `[`, `{"centers":{"a":1e400}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m := configurator.New()
		m.Apply(patch("a", 1, string(body)), start)
		if _, err := configurator.Parse(m.Current().GetDocument()); err != nil {
			t.Fatalf("the current document is not valid: %v", err)
		}
	})
}
