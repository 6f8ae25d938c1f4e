package stager_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/soaker/stager"
)

// Guards against a soak that crashes in place of saying that a host did not start (seed 7012, whose program was gone).
func TestStageStopsWithoutItsProgram(t *testing.T) {
	folder := t.TempDir()
	stage, err := stager.New(filepath.Join(folder, "missing"), folder, 64+os.Getpid()%150, 3, 1) // Runs beside others.
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stage.Hosts()[0].Start(), qt.IsNotNil)
	stage.Stop()
}
