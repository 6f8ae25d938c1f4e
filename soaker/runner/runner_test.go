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

var longSoak = flag.Bool("soak", false, "run with many seeds and longer")

// Seeds that have failed before, with the cause.
var regressions = []uint64{
	116,   // A process that received SIGHUP during its start was terminated. Package ignorer of fleetd prevents this.
	104,   // A request that ended while its host stopped was logged after the log was closed, and the host crashed.
	12001, // A hang-up right after a restart ended the new process, which nobody started again. A fault of the soak test.
	// A heartbeat that cannot be encoded ended the streams of state, and a leaf that had left got requests. Found with 30 s of
	// faults and checked time limits.
	9003,
}

// build builds the program under test with the race detector.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "fleetd")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "lycheelift.example/fleetd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// Guards against failures of real processes that are killed, suspended or stopped, that lose their disk or have a torn
// log, and whose connections are silent, slow, cut in one direction or reset. The failures are merged answers that do not
// match their parts, requests that run twice or run although they were refused, configurations that are lost or revert
// to an older version, and a system that does not recover.
func TestShortSoak(t *testing.T) {
	binary := build(t)
	seeds, faults := append([]uint64{3}, regressions...), 4*time.Second
	if *longSoak {
		faults = 20 * time.Second
		for seed := range uint64(50) {
			seeds = append(seeds, 1000+seed)
		}
	}
	for i, seed := range seeds {
		result, err := runner.Run(context.Background(), runner.Config{
			Binary: binary, Folder: t.TempDir(), Seed: seed, Subnet: 64 + os.Getpid()%150, FaultDuration: faults, Controls: 3 + i%2, Entries: 3, Shards: 4,
			Callers: 4, CheckTiming: *longSoak, Log: func(text string) { t.Log(text) },
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, result.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Check(t, result.Answered > 0, qt.IsTrue)
		t.Logf("seed %d: %d of %d requests answered", seed, result.Answered, result.Sent)
	}
}
