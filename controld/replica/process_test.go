package replica_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
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

	"lycheelift.example/lib/transporter"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// patience is the longest wait for a condition; it only decides when a test gives up.
const patience = 90 * time.Second

var binary string

// TestMain builds the daemon, which the tests run as real processes.
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

func freePort(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newGroup starts processes that found a group; compact is the number of records between snapshots.
func newGroup(t testing.TB, count, compact int) *group {
	g := &group{t: t}
	folder := t.TempDir()
	var members strings.Builder
	client := transporter.Client(transporter.Silence{Idle: time.Second, Answer: time.Second})
	for i := range count {
		h := &host{name: fmt.Sprintf("control-%d", i+1), peers: freePort(t)}
		h.data, h.settings = filepath.Join(folder, h.name), filepath.Join(folder, h.name+".toml")
		fmt.Fprintf(&members, "[[members]]\nname = %q\naddress = %q\n", h.name, h.peers)
		g.hosts = append(g.hosts, h)
	}
	for _, h := range g.hosts {
		operators := freePort(t)
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

func (h *host) kill() {
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
}

// eventually waits for a condition.
func (g *group) eventually(what string, holds func(ctx context.Context) bool) {
	g.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		ok := holds(ctx)
		cancel()
		if ok {
			return
		}
	}
	g.t.Fatalf("not reached: %s", what)
}

// leader returns a host that a host in reach names as leader and that agrees.
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

// whole waits until every host has a vote under its present incarnation and has applied what the leader committed.
func (g *group) whole() {
	g.t.Helper()
	g.eventually("a whole group", func(ctx context.Context) bool {
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

// patch submits one change on a host until it is accepted, with the same identity after a lost answer, and returns
// the version made.
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

// history checks that each host tells the same versions, and that each accepted patch made the one that was told.
func (g *group) history(accepted map[uint64]string) {
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

// Guards against lost, doubled or reordered versions when the leader is killed while patches race.
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
		h.kill()
		g.leader()
		g.start(h)
		g.whole()
	}
	wg.Wait()
	g.whole()
	g.history(accepted)
}

// Guards against the loss of versions when each host loses its data folder in turn, one right after the repair of
// another, and against a group that cannot work without a second host after the repair.
func TestLostDataFolders(t *testing.T) {
	g := newGroup(t, 3, 16)
	accepted := map[uint64]string{}
	for round := range 4 {
		for i := range 10 {
			id := fmt.Sprintf("r%d-%d", round, i)
			accepted[g.patch(g.hosts, id)] = id
		}
		h := g.hosts[round%3]
		h.kill()
		qt.Assert(t, os.RemoveAll(h.data), qt.IsNil)
		g.start(h)
		g.whole()
		other := g.hosts[(round+1)%3]
		other.kill()
		id := fmt.Sprintf("r%d-without", round)
		accepted[g.patch([]*host{h, g.hosts[(round+2)%3]}, id)] = id
		g.start(other)
		g.whole()
	}
	g.history(accepted)
}

// Guards against a stopped leader that answers from the past when it goes on.
func TestStoppedLeader(t *testing.T) {
	g := newGroup(t, 3, 4096)
	accepted := map[uint64]string{}
	for round := range 3 {
		old := g.leader()
		qt.Assert(t, old.process.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		var rest []*host
		for _, h := range g.hosts {
			if h != old {
				rest = append(rest, h)
			}
		}
		id := fmt.Sprintf("stopped-%d", round)
		version := g.patch(rest, id)
		accepted[version] = id
		qt.Assert(t, old.process.Process.Signal(syscall.SIGCONT), qt.IsNil)
		g.eventually("a read on the old leader", func(ctx context.Context) bool {
			out, err := old.operator.Show(ctx, &operatorv1.ShowRequest{})
			if err == nil && out.GetVersion().GetNumber() < version {
				t.Errorf("the old leader shows version %d after %d was accepted", out.GetVersion().GetNumber(), version)
			}
			return err == nil
		})
	}
	g.whole()
	g.history(accepted)
}

// Guards against a host that never catches up after a long absence, when its records were compacted away.
func TestReturnAfterLongAbsence(t *testing.T) {
	g := newGroup(t, 3, 16)
	h := g.follower()
	qt.Assert(t, h.process.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	var rest []*host
	for _, x := range g.hosts {
		if x != h {
			rest = append(rest, x)
		}
	}
	accepted := map[uint64]string{}
	for i := range 60 {
		id := fmt.Sprintf("absent-%d", i)
		accepted[g.patch(rest, id)] = id
	}
	qt.Assert(t, h.process.Process.Signal(syscall.SIGCONT), qt.IsNil)
	g.whole()
	g.history(accepted)
}

// Guards against two processes on one data folder, and against a graceful stop that fails.
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
	g.whole()
}

// Guards against a leader that goes on acknowledging when its files can no longer be written, and against a group
// that waits for it.
func TestLeaderThatCannotWrite(t *testing.T) {
	g := newGroup(t, 3, 16)
	h := g.leader()
	qt.Assert(t, os.RemoveAll(h.data), qt.IsNil) // The next snapshot or segment cannot be created.
	accepted := map[uint64]string{}
	for i := range 30 {
		id := fmt.Sprintf("failing-%d", i)
		accepted[g.patch(g.hosts, id)] = id
	}
	g.eventually("the host reports its failure", func(ctx context.Context) bool {
		r, err := h.replica.Report(ctx, &peerv1.ReportRequest{})
		return err == nil && strings.Contains(r.GetFailure(), "no such file")
	})
	h.kill()
	g.start(h)
	g.whole()
	g.history(accepted)
}

// Guards against a joining host that founds its own group, and against a removal that stops the group.
func TestJoinAndRemove(t *testing.T) {
	g := newGroup(t, 3, 16)
	accepted := map[uint64]string{}
	for i := range 20 {
		id := fmt.Sprintf("before-%d", i)
		accepted[g.patch(g.hosts, id)] = id
	}
	leaving := g.leader()
	leaving.kill()
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
	g.whole()
	g.history(accepted)
}
