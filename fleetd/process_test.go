package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/reserver"
)

// build compiles the program and returns its path.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "fleetd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// settings writes the settings of an entry host and returns their path and the address of its readiness check.
func settings(t *testing.T, extra string) (path, ready string) {
	addresses, err := reserver.Addresses(2)
	qt.Assert(t, err, qt.IsNil)
	ready = addresses[0]
	text := fmt.Sprintf("name = \"entry\"\ncenter = \"a\"\naddress = \"127.0.0.1\"\nports = [7740, 7749]\nseeds = [\"127.0.0.1:1\"]\n%s[listen]\ncallers = %q\nready = %q\n[bounds]\ngrace = \"1s\"\n",
		extra, addresses[1], ready)
	path = filepath.Join(t.TempDir(), "fleetd.toml")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path, ready
}

// Guards against a process that exits on SIGHUP, which the platform sends when settings change, and against one that does not
// stop on SIGTERM. The time before the first log line is covered by package ignorer.
func TestHangUpEndsNothing(t *testing.T) {
	path, _ := settings(t, "")
	c := exec.Command(build(t), "entry", "--settings", path)
	out, err := c.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Start(), qt.IsNil)
	lines := bufio.NewReader(out)
	_, err = lines.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	for range 20 {
		qt.Check(t, c.Process.Signal(syscall.SIGHUP), qt.IsNil)
	}
	qt.Assert(t, c.Process.Signal(syscall.SIGTERM), qt.IsNil)
	_, err = io.Copy(io.Discard, lines)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Wait(), qt.IsNil)
}

// Guards against reporting only the first error in the settings, and against starting with invalid settings.
func TestFaultySettings(t *testing.T) {
	binary := build(t)
	path, _ := settings(t, "colour = \"red\"\ntolerance = -1\nfirst = 1\n")
	for _, command := range []string{"check", "entry", "control"} {
		out, err := exec.Command(binary, command, "--settings", path).CombinedOutput()
		var exit *exec.ExitError
		qt.Assert(t, err, qt.ErrorAs, &exit)
		qt.Assert(t, exit.ExitCode(), qt.Equals, 2)
		for _, key := range []string{"colour", "tolerance", "first"} {
			qt.Check(t, string(out), qt.Contains, key)
		}
	}
}

// Guards against a host that does not answer explain before it has a configuration, and against an exit code that hides that
// a host did not answer.
func TestExplainOfAHostWithoutConfiguration(t *testing.T) {
	binary := build(t)
	path, _ := settings(t, "")
	text, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	free, err := reserver.Addresses(1)
	qt.Assert(t, err, qt.IsNil)
	_, port, _ := net.SplitHostPort(free[0])
	qt.Assert(t, os.WriteFile(path, []byte(strings.Replace(string(text), "7740", port, 1)), 0o600), qt.IsNil)
	explain := func() (string, int) {
		c := exec.Command(binary, "explain", "http://n/all/2f", "--settings", path, "--key-file", "-")
		c.Stdin = strings.NewReader("key-4711\n")
		out, _ := c.CombinedOutput()
		return string(out), c.ProcessState.ExitCode()
	}
	out, code := explain()
	qt.Assert(t, code, qt.Equals, 4, qt.Commentf("%s", out))
	host := exec.Command(binary, "entry", "--settings", path)
	var log bytes.Buffer
	host.Stdout, host.Stderr = &log, &log
	qt.Assert(t, host.Start(), qt.IsNil)
	for code != 0 && t.Context().Err() == nil {
		out, code = explain()
	}
	qt.Assert(t, host.Process.Signal(syscall.SIGTERM), qt.IsNil)
	qt.Assert(t, host.Wait(), qt.IsNil)
	qt.Assert(t, out, qt.Contains, `rejected with 503 by the check "configuration": this host has no configuration yet, Retry-After 500.0ms`)
	qt.Assert(t, log.String(), qt.Contains, `event="1045"`)
	qt.Assert(t, out+log.String(), qt.Not(qt.Contains), "key-4711")
}
