package checker_test

import (
	"os"
	"path/filepath"
	"testing"

	"lycheelift.example/lib/checker"
	"lycheelift.example/schema/gen/settings/entryd"
)

// FuzzFile guards against a settings file that makes a daemon panic at startup.
func FuzzFile(f *testing.F) {
	for _, user := range []string{"galati", "bengal"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", user, "entryd.toml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("name = 2024-01-01\nlisten = [1]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "entryd.toml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _ = checker.File[entryd.Entry](path, checker.Entry)
	})
}
