package runner_test

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/soaker/runner"
)

var soak = flag.Bool("soak", false, "run with many seeds and longer")

// Seeds that once found something, with the cause.
var regressions = []uint64{
	116, // A process that was told of changed settings while it started ended. Package ignorer of fleetd guards it.
	104, // A request that ended while its host stopped was logged after the log was closed, and the host crashed.
}

// build makes the program under test with the race detector.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "fleetd")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "lycheelift.example/fleetd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// Guards against broken promises of real processes under kills, freezes, stops, lost disks, torn logs, and silent,
// slow, cut and reset connections: answers that are not what their parts give, requests that run twice or although
// they were refused, configurations that are lost or go back, and a system that does not come back.
func TestShortSoak(t *testing.T) {
	binary := build(t)
	seeds, faults := append([]uint64{3}, regressions...), 4*time.Second
	if *soak {
		faults = 20 * time.Second
		for seed := range uint64(50) {
			seeds = append(seeds, 1000+seed)
		}
	}
	for i, seed := range seeds {
		result, err := runner.Run(context.Background(), runner.Config{
			Binary: binary, Folder: t.TempDir(), Seed: seed, Subnet: 64 + os.Getpid()%150, Faults: faults, Controls: 3 + i%2, Entries: 3, Shards: 4,
			Callers: 4, Timed: *soak, Log: func(text string) { t.Log(text) },
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, result.Faults, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Check(t, result.Answered > 0, qt.IsTrue)
		t.Logf("seed %d: %d of %d requests answered", seed, result.Answered, result.Asked)
	}
}
