package stager_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/loader/stager"
)

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lycheelift-stager-")
	if err != nil {
		panic(err)
	}
	for _, program := range []string{"entryd", "controld", "leafd"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(folder, program), "../../"+program).CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%s: %s", err, out))
		}
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// startDeployment starts 3 data centres with 2 hosts each and waits until each host is ready and knows all leaves.
func startDeployment(t *testing.T) (*qt.C, context.Context, *stager.Deployment) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	d, err := stager.Start(ctx, stager.Layout{Binaries: binaries, Folder: t.TempDir(), Centers: 3, Hosts: 2, Shards: 3, Grace: time.Second})
	t.Cleanup(d.Close)
	c.Assert(err, qt.IsNil)
	awaitSettled(ctx, c, d, 9)
	return c, ctx, d
}

// awaitSettled waits until each host is ready and knows the given number of leaves, each of which has an owner.
func awaitSettled(ctx context.Context, c *qt.C, d *stager.Deployment, leaves int) {
	c.Assert(d.Await(ctx, func(h *stager.Host) bool {
		out, err := d.Inspect(ctx, h)
		if err != nil || len(out.GetLeaves()) != leaves || !d.Ready(ctx, h) {
			return false
		}
		for _, l := range out.GetLeaves() {
			if l.GetOwner() == "" {
				return false
			}
		}
		return true
	}), qt.IsNil)
}

// Guards against queries that are interrupted or refused while each host in turn is stopped gracefully and restarted.
func TestRollingRestartFailsNoQuery(t *testing.T) {
	c, ctx, d := startDeployment(t)
	load := d.StartLoad(ctx, 50)
	for _, h := range d.Hosts {
		c.Assert(h.Signal(syscall.SIGTERM), qt.IsNil)
		c.Assert(h.Wait(), qt.IsNil, qt.Commentf("%s", d.Log(h)))
		c.Assert(d.StartHost(h), qt.IsNil)
		awaitSettled(ctx, c, d, 9)
	}
	sent, failures, _ := load.Stop()
	c.Logf("%d queries", sent)
	c.Assert(failures, qt.HasLen, 0)
}

// Guards against calls that reach a data centre more than 3 s after the patch that takes it out of service was accepted,
// against queries that fail meanwhile, and against a data centre that gets no calls after it was put back.
func TestDataCenterOutAndBack(t *testing.T) {
	c, ctx, d := startDeployment(t)
	load := d.StartLoad(ctx, 50)
	time.Sleep(time.Second)
	accepted, err := d.SetCenterOut(ctx, "center-1", true)
	c.Assert(err, qt.IsNil)
	time.Sleep(5 * time.Second)
	records, err := d.Records(ctx, "center-1")
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 3)
	for _, r := range records {
		late := r.LastCall.Sub(accepted)
		c.Logf("%s: last call %s after the patch was accepted", r.Leaf, late)
		c.Assert(r.Calls > 0, qt.IsTrue)
		c.Assert(late < 3*time.Second, qt.IsTrue)
	}
	restored, err := d.SetCenterOut(ctx, "center-1", false)
	c.Assert(err, qt.IsNil)
	awaitSettled(ctx, c, d, 9)
	time.Sleep(time.Second)
	sent, failures, _ := load.Stop()
	c.Logf("%d queries", sent)
	c.Assert(failures, qt.HasLen, 0)
	records, err = d.Records(ctx, "center-1")
	c.Assert(err, qt.IsNil)
	for _, r := range records {
		c.Assert(r.LastCall.After(restored), qt.IsTrue)
	}
}

// Guards against a local removal that reaches only one host of the data centre, that is cleared by an unrelated
// configuration version, or that persists after a version that changes the data centre's out value.
func TestLocalRemoval(t *testing.T) {
	c, ctx, d := startDeployment(t)
	removed := func(want bool) func(*stager.Host) bool {
		return func(h *stager.Host) bool {
			out, err := d.Inspect(ctx, h)
			return err == nil && out.GetVersion() == d.Version() && out.GetRemoved() == (want && h.Center == "center-0")
		}
	}
	c.Assert(d.Remove(ctx, d.Hosts[0], true), qt.IsNil)
	c.Assert(d.Await(ctx, removed(true)), qt.IsNil)
	_, err := d.Patch(ctx, map[string]any{"services": map[string]any{"other": map[string]any{}}})
	c.Assert(err, qt.IsNil)
	c.Assert(d.Await(ctx, removed(true)), qt.IsNil)
	_, err = d.SetCenterOut(ctx, "center-0", true)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Await(ctx, removed(false)), qt.IsNil)
}

// Guards against leaves without an owner after a host was killed, and against a restarted host that owns no leaves.
func TestHostKilled(t *testing.T) {
	c, ctx, d := startDeployment(t)
	c.Assert(d.Hosts[0].Signal(syscall.SIGKILL), qt.IsNil)
	_ = d.Hosts[0].Wait()
	killed := time.Now()
	owned := func(h *stager.Host) bool {
		if h == d.Hosts[0] {
			return true
		}
		out, err := d.Inspect(ctx, h)
		if err != nil || len(out.GetLeaves()) != 9 {
			return false
		}
		for _, l := range out.GetLeaves() {
			if l.GetOwner() == "" || l.GetOwner() == d.Hosts[0].Name {
				return false
			}
		}
		return true
	}
	c.Assert(d.Await(ctx, owned), qt.IsNil)
	c.Logf("every leaf has a new owner at every host %s after the kill", time.Since(killed))
	load := d.StartLoad(ctx, 50)
	time.Sleep(time.Second)
	c.Assert(d.StartHost(d.Hosts[0]), qt.IsNil)
	awaitSettled(ctx, c, d, 9)
	_, failures, _ := load.Stop()
	c.Assert(failures, qt.HasLen, 0)
}

// Guards against faults after all hosts of a data centre restart at once: hosts that answer "no such shard" or stay
// without leaves, and queries that fail on hosts of other data centres after the failure was detected.
func TestDataCenterRestartsAtOnce(t *testing.T) {
	c, ctx, d := startDeployment(t)
	hosts := d.Hosts[:2]
	for _, h := range hosts {
		c.Assert(h.Signal(syscall.SIGKILL), qt.IsNil)
		_ = h.Wait()
	}
	for _, h := range hosts {
		c.Assert(d.StartHost(h), qt.IsNil)
	}
	awaitSettled(ctx, c, d, 9)
	load := d.StartLoad(ctx, 50)
	time.Sleep(time.Second)
	_, failures, _ := load.Stop()
	c.Assert(failures, qt.HasLen, 0)
}

// Guards against hosts that stop serving or hide the age of their configuration while the control host is
// unreachable, and against a host that cannot start during that time.
func TestCutOffFromControl(t *testing.T) {
	c, ctx, d := startDeployment(t)
	c.Assert(d.SignalControl(syscall.SIGSTOP), qt.IsNil)
	stopped := time.Now()
	load := d.StartLoad(ctx, 50)
	time.Sleep(7 * time.Second)
	h := d.Hosts[5]
	c.Assert(h.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(h.Wait(), qt.IsNil, qt.Commentf("%s", d.Log(h)))
	c.Assert(d.StartHost(h), qt.IsNil)
	awaitSettled(ctx, c, d, 9)
	time.Sleep(time.Second)
	outage := time.Since(stopped)
	sent, failures, age := load.Stop()
	c.Logf("%d queries, control host unreachable for %s, largest configuration age in a reply %s", sent, outage, age)
	c.Assert(failures, qt.HasLen, 0)
	c.Assert(age > outage-time.Second && age < outage+10*time.Second, qt.IsTrue)
}
