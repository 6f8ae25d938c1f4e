package stager_test

import (
	"os"
	"path/filepath"
	"syscall"
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

// Guards against a soak test that ends a process by SIGHUP before its program can ignore the signal, and then misses the host: seeds
// 12001, 12004, 12102 and 12106, where a hang-up waited for a restart.
func TestHangUpWaitsUntilTheSignalIsHandled(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "program")
	qt.Assert(t, os.WriteFile(program, []byte("#!/bin/sh\nsleep 0.3\ntrap '' HUP\nexec sleep 60\n"), 0o700), qt.IsNil)
	deployment, err := stager.New(program, folder, 64+os.Getpid()%150, 3, 1)
	qt.Assert(t, err, qt.IsNil)
	defer deployment.Stop()
	h := deployment.Hosts()[0]
	qt.Assert(t, h.HangUp(), qt.ErrorIs, stager.ErrEnded)
	qt.Assert(t, h.Start(), qt.IsNil)
	for range 3 {
		qt.Assert(t, h.HangUp(), qt.IsNil)
	}
	h.Signal(syscall.SIGKILL)
	h.Wait()
	qt.Assert(t, h.HangUp(), qt.ErrorIs, stager.ErrEnded)
}
