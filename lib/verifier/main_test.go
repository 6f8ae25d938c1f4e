package verifier_test

import (
	"os"
	"testing"

	"lycheelift.example/lib/seeder"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}
