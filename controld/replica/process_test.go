package replica_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lycheelift.example/lib/reserver"
	"lycheelift.example/lib/transporter"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// conditionTimeout bounds the wait for a condition. It only determines when a test fails, not what it checks.
const conditionTimeout = 90 * time.Second

var binary string

// TestMain builds the daemon, which the tests start as separate processes.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(build(m))
}

func build(m *testing.M) int {
	folder, err := os.MkdirTemp("", "controld-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "controld")
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

// host is one controld process.
type host struct {
	name, settings, data, peers string
	process                     *exec.Cmd
	operator                    operatorv1connect.OperatorServiceClient
	replica                     peerv1.ReplicaServiceClient
}

type group struct {
	t     testing.TB
	hosts []*host
}

// newGroup starts the processes of a new group; compact is the number of records between snapshots.
func newGroup(t testing.TB, count, compact int) *group {
	g := &group{t: t}
	folder := t.TempDir()
	var members strings.Builder
	addresses, err := reserver.Addresses(2 * count)
	qt.Assert(t, err, qt.IsNil)
	client := transporter.NewClient(transporter.PingPolicy{Interval: time.Second, Timeout: time.Second})
	for i := range count {
		h := &host{name: fmt.Sprintf("control-%d", i+1), peers: addresses[2*i]}
		h.data, h.settings = filepath.Join(folder, h.name), filepath.Join(folder, h.name+".toml")
		fmt.Fprintf(&members, "[[members]]\nname = %q\naddress = %q\n", h.name, h.peers)
		g.hosts = append(g.hosts, h)
	}
	for i, h := range g.hosts {
		operators := addresses[2*i+1]
		text := fmt.Sprintf("name = %q\ndata = %q\ncompact = %d\n[listen]\noperators = %q\npeers = %q\n[tls]\noff = true\n%s",
			h.name, h.data, compact, operators, h.peers, members.String())
		qt.Assert(t, os.WriteFile(h.settings, []byte(text), 0o600), qt.IsNil)
		h.operator = operatorv1connect.NewOperatorServiceClient(client, "http://"+operators)
		conn, err := grpc.NewClient("passthrough:///"+h.peers, grpc.WithTransportCredentials(insecure.NewCredentials()))
		qt.Assert(t, err, qt.IsNil)
		h.replica = peerv1.NewReplicaServiceClient(conn)
		g.start(h)
	}
	t.Cleanup(func() {
		for _, h := range g.hosts {
			_ = h.process.Process.Kill()
			_ = h.process.Wait()
			if t.Failed() {
				log, _ := os.ReadFile(h.settings + ".log")
				t.Logf("%s:\n%s", h.name, log)
			}
		}
	})
	return g
}

func (g *group) start(h *host) {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(g.t, err, qt.IsNil)
	defer func() { _ = log.Close() }()
	h.process = exec.Command(binary, "--settings", h.settings)
	h.process.Stdout, h.process.Stderr = log, log
	qt.Assert(g.t, h.process.Start(), qt.IsNil)
}

func (h *host) killAndWait() {
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
}

// eventually polls a condition until it holds, and fails the test after conditionTimeout.
func (g *group) eventually(what string, condition func(ctx context.Context) bool) {
	g.t.Helper()
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		ok := condition(ctx)
		cancel()
		if ok {
			return
		}
	}
	g.t.Fatalf("condition not met in time: %s", what)
}

// leader waits until some host reports itself as leader, and returns it.
func (g *group) leader() *host {
	g.t.Helper()
	var out *host
	g.eventually("a leader", func(ctx context.Context) bool {
		for _, h := range g.hosts {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			r, err := h.replica.Report(ctx, &peerv1.ReportRequest{})
			cancel()
			if err == nil && r.GetLeader() == h.name {
				out = h
				return true
			}
		}
		return false
	})
	return out
}

func (g *group) follower() *host {
	leader := g.leader()
	for _, h := range g.hosts {
		if h != leader {
			return h
		}
	}
	return nil
}

// waitCaughtUp waits until every host is a voter with its current incarnation and has applied everything that the
// leader has committed.
func (g *group) waitCaughtUp() {
	g.t.Helper()
	g.eventually("all hosts voting and caught up", func(ctx context.Context) bool {
		reports := map[string]*peerv1.ReportResponse{}
		var members *statev1.Members
		var commit uint64
		for _, h := range g.hosts {
			r, err := h.replica.Report(ctx, &peerv1.ReportRequest{})
			if err != nil {
				return false
			}
			reports[h.name] = r
			if r.GetLeader() == h.name {
				members, commit = r.GetMembers(), r.GetCommit()
			}
		}
		for _, m := range members.GetReplicas() {
			r := reports[m.GetHost()]
			if m.GetLearner() || m.GetIncarnation() != r.GetIncarnation() || r.GetApplied() < commit {
				return false
			}
		}
		return len(members.GetReplicas()) == len(g.hosts)
	})
}

// patch submits one change until a host accepts it and returns the resulting version. After a lost response it resends
// the same patch id.
func (g *group) patch(hosts []*host, id string) uint64 {
	var base, version uint64 = 1, 0
	attempt := 0
	g.eventually("patch "+id, func(ctx context.Context) bool {
		attempt++
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			out, err := h.operator.Patch(ctx, &operatorv1.PatchRequest{Patch: &statev1.Patch{
				Id: fmt.Sprintf("%s-base-%d", id, base), Base: base, Author: "test", Body: []byte(fmt.Sprintf(`{"centers":{"c":{"region":%q}}}`, id)),
			}})
			cancel()
			if err != nil {
				continue
			}
			if out.GetResult().GetVerdict() == statev1.Verdict_VERDICT_ACCEPTED {
				version = out.GetResult().GetVersion()
				return true
			}
			base = out.GetResult().GetVersion()
		}
		return false
	})
	return version
}

// checkHistory checks that every host reports the same versions, and that each accepted patch produced the version that
// was returned to its author.
func (g *group) checkHistory(accepted map[uint64]string) {
	g.t.Helper()
	for _, h := range g.hosts {
		var audits []*statev1.Audit
		g.eventually("history of "+h.name, func(ctx context.Context) bool {
			out, err := h.operator.History(ctx, &operatorv1.HistoryRequest{})
			audits = out.GetAudits()
			return err == nil
		})
		next, found := uint64(2), 0
		for _, a := range audits {
			if a.GetResult().GetVerdict() != statev1.Verdict_VERDICT_ACCEPTED {
				continue
			}
			qt.Assert(g.t, a.GetResult().GetVersion(), qt.Equals, next)
			if id, ok := accepted[next]; ok {
				qt.Assert(g.t, a.GetPatch().GetId(), qt.Matches, id+"-base-.*")
				found++
			}
			next++
		}
		qt.Assert(g.t, found, qt.Equals, len(accepted), qt.Commentf("%s", h.name))
	}
}

// Guards against lost, duplicated or reordered versions when the leader is killed during concurrent patches.
func TestKilledLeaderDuringRacingPatches(t *testing.T) {
	g := newGroup(t, 3, 32)
	var mu sync.Mutex
	var wg sync.WaitGroup
	accepted := map[uint64]string{}
	for writer := range 4 {
		wg.Go(func() {
			for i := range 15 {
				id := fmt.Sprintf("w%d-%d", writer, i)
				version := g.patch([]*host{g.hosts[(writer+i)%3], g.hosts[(writer+i+1)%3]}, id)
				mu.Lock()
				if other, ok := accepted[version]; ok {
					t.Errorf("version %d was given to %s and %s", version, other, id)
				}
				accepted[version] = id
				mu.Unlock()
			}
		})
	}
	for range 3 {
		h := g.leader()
		h.killAndWait()
		g.leader()
		g.start(h)
		g.waitCaughtUp()
	}
	wg.Wait()
	g.waitCaughtUp()
	g.checkHistory(accepted)
}

// Guards against the loss of versions when each host in turn loses its data folder, as soon as the previous one has
// recovered, and against a group that cannot commit when another host fails right after a recovery.
func TestLostDataFolders(t *testing.T) {
	g := newGroup(t, 3, 16)
	accepted := map[uint64]string{}
	for round := range 4 {
		for i := range 10 {
			id := fmt.Sprintf("r%d-%d", round, i)
			accepted[g.patch(g.hosts, id)] = id
		}
		h := g.hosts[round%3]
		h.killAndWait()
		qt.Assert(t, os.RemoveAll(h.data), qt.IsNil)
		g.start(h)
		g.waitCaughtUp()
		other := g.hosts[(round+1)%3]
		other.killAndWait()
		id := fmt.Sprintf("r%d-without", round)
		accepted[g.patch([]*host{h, g.hosts[(round+2)%3]}, id)] = id
		g.start(other)
		g.waitCaughtUp()
	}
	g.checkHistory(accepted)
}

// Guards against stale reads from a leader that was paused (SIGSTOP), replaced and resumed.
func TestStoppedLeader(t *testing.T) {
	g := newGroup(t, 3, 4096)
	accepted := map[uint64]string{}
	for round := range 3 {
		stopped := g.leader()
		qt.Assert(t, stopped.process.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		var others []*host
		for _, h := range g.hosts {
			if h != stopped {
				others = append(others, h)
			}
		}
		id := fmt.Sprintf("stopped-%d", round)
		version := g.patch(others, id)
		accepted[version] = id
		qt.Assert(t, stopped.process.Process.Signal(syscall.SIGCONT), qt.IsNil)
		g.eventually("a read on the resumed leader", func(ctx context.Context) bool {
			out, err := stopped.operator.Show(ctx, &operatorv1.ShowRequest{})
			if err == nil && out.GetVersion().GetNumber() < version {
				t.Errorf("the resumed leader returned version %d after version %d was accepted", out.GetVersion().GetNumber(), version)
			}
			return err == nil
		})
	}
	g.waitCaughtUp()
	g.checkHistory(accepted)
}

// Guards against a host that never catches up after a long pause, when the records that it lacks have been compacted.
func TestReturnAfterLongAbsence(t *testing.T) {
	g := newGroup(t, 3, 16)
	h := g.follower()
	qt.Assert(t, h.process.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	var others []*host
	for _, x := range g.hosts {
		if x != h {
			others = append(others, x)
		}
	}
	accepted := map[uint64]string{}
	for i := range 60 {
		id := fmt.Sprintf("absent-%d", i)
		accepted[g.patch(others, id)] = id
	}
	qt.Assert(t, h.process.Process.Signal(syscall.SIGCONT), qt.IsNil)
	g.waitCaughtUp()
	g.checkHistory(accepted)
}

// Guards against two processes that use one data folder, and against a failing graceful stop.
func TestSecondProcessAndGracefulStop(t *testing.T) {
	g := newGroup(t, 3, 4096)
	leader := g.leader()
	out, err := exec.Command(binary, "--settings", leader.settings).CombinedOutput()
	var exit *exec.ExitError
	qt.Assert(t, errors.As(err, &exit), qt.IsTrue)
	qt.Assert(t, string(out), qt.Contains, "in use by another process")
	qt.Assert(t, leader.process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	qt.Assert(t, leader.process.Wait(), qt.IsNil)
	qt.Assert(t, g.leader(), qt.Not(qt.Equals), leader)
	g.start(leader)
	g.waitCaughtUp()
}

// Guards against a leader that continues to acknowledge commands when its files can no longer be written, and against a
// group that makes no progress because of it.
func TestLeaderThatCannotWrite(t *testing.T) {
	g := newGroup(t, 3, 16)
	h := g.leader()
	qt.Assert(t, os.RemoveAll(h.data), qt.IsNil) // The next snapshot or segment cannot be created.
	accepted := map[uint64]string{}
	for i := range 30 {
		id := fmt.Sprintf("failing-%d", i)
		accepted[g.patch(g.hosts, id)] = id
	}
	g.eventually("the host to report its failure", func(ctx context.Context) bool {
		r, err := h.replica.Report(ctx, &peerv1.ReportRequest{})
		return err == nil && strings.Contains(r.GetFailure(), "no such file")
	})
	h.killAndWait()
	g.start(h)
	g.waitCaughtUp()
	g.checkHistory(accepted)
}

// Guards against a joining host that bootstraps a group of its own, and against a removal that makes the group
// unavailable.
func TestJoinAndRemove(t *testing.T) {
	g := newGroup(t, 3, 16)
	accepted := map[uint64]string{}
	for i := range 20 {
		id := fmt.Sprintf("before-%d", i)
		accepted[g.patch(g.hosts, id)] = id
	}
	leaving := g.leader()
	leaving.killAndWait()
	qt.Assert(t, os.RemoveAll(leaving.data), qt.IsNil)
	text, err := os.ReadFile(leaving.settings)
	qt.Assert(t, err, qt.IsNil)
	joining := *leaving
	joining.name = "control-9"
	changed := strings.Replace(string(text), fmt.Sprintf("name = %q\ndata", leaving.name), "name = \"control-9\"\njoin = true\ndata", 1)
	qt.Assert(t, os.WriteFile(joining.settings, []byte(changed), 0o600), qt.IsNil)
	g.start(&joining)
	for _, c := range []*peerv1.ChangeRequest{{Remove: leaving.name}, {Add: &statev1.Replica{Host: joining.name, Address: joining.peers}}} {
		g.eventually("a change of members", func(ctx context.Context) bool {
			_, err := g.leader().replica.Change(ctx, c)
			return err == nil
		})
	}
	*leaving = joining
	g.waitCaughtUp()
	g.checkHistory(accepted)
}
