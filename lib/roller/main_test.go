package roller_test

import (
	"os"
	"testing"

	"lycheelift.example/lib/seeder"
)

// TestMain sets a fixed seed for rapid, so that failures in CI are reproducible.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}
