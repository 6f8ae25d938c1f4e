package stager_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/soaker/stager"
)

// Guards against a soak test that crashes instead of reporting that a host did not start. Seed 7012 crashed so after the
// program under test had been removed.
func TestStageStopsWithoutItsProgram(t *testing.T) {
	folder := t.TempDir()
	deployment, err := stager.New(filepath.Join(folder, "missing"), folder, 64+os.Getpid()%150, 3, 1) // Avoids the addresses of concurrent runs.
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, deployment.Hosts()[0].Start(), qt.IsNotNil)
	deployment.Stop()
}
