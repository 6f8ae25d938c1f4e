package linker

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that a failure in CI repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
