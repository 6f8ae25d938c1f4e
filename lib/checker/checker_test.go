package checker_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/checker"
	"lycheelift.example/schema/gen/settings/controld"
	"lycheelift.example/schema/gen/settings/entryd"
)

var update = flag.Bool("update", false, "regenerate docs/SETTINGS.md")

// Guards against reporting only the first fault of a settings file.
func TestEveryFaultIsListed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entryd.toml")
	qt.Assert(t, os.WriteFile(path, []byte(`
name = "Entry 1"
center = "gal-1"
control = ["example:1"]
queries = 0
colour = "red"
grace = "soon"
[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
[tls]
off = true
`), 0o600), qt.IsNil)
	_, err := checker.File[entryd.Entry](path, checker.Entry)
	var faults checker.Faults
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	keys := make([]string, 0, len(faults))
	for _, f := range faults {
		qt.Check(t, f.File, qt.Equals, path)
		keys = append(keys, f.Key)
	}
	qt.Assert(t, keys, qt.DeepEquals, []string{"", "control.0", "grace", "name", "queries"})
	qt.Assert(t, err.Error(), qt.Contains, "colour")
}

// Guards against example files that the daemons reject.
func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"galati", "bengal"} {
		folder := filepath.Join("..", "..", "examples", user)
		_, err := checker.File[entryd.Entry](filepath.Join(folder, "entryd.toml"), checker.Entry)
		qt.Assert(t, err, qt.IsNil)
		_, err = checker.File[controld.Control](filepath.Join(folder, "controld.toml"), checker.Control)
		qt.Assert(t, err, qt.IsNil)
		data, err := os.ReadFile(filepath.Join(folder, "configuration.json"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, checker.Document("configuration.json", checker.Configuration, data), qt.IsNil)
	}
}

// Guards against a settings page that does not match the schemas.
func TestSettingsPageMatchesTheSchemas(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings\n\nMade from the schemas: `go test ./lib/checker -update`. Durations are a number with a unit, such as 500ms.\n")
	for _, s := range []checker.Schema{checker.Entry, checker.Control, checker.Configuration, checker.Fleet} {
		keys, err := checker.Keys(s)
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprintf(&b, "\n## %s\n\n| key | type | required | default | permitted | meaning |\n|---|---|---|---|---|---|\n", s)
		for _, k := range keys {
			required := ""
			if k.Required {
				required = "yes"
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", k.Path, k.Type, required, k.Default, k.Permitted, k.Description)
		}
	}
	page := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(b.String()), 0o600), qt.IsNil)
	}
	got, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, b.String())
}
