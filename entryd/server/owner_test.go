package server_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/dispatcher"
	"lycheelift.example/entryd/server"
	"lycheelift.example/leafd/leaf"
	"lycheelift.example/lib/reserver"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
	settings "lycheelift.example/schema/gen/settings/entryd"
)

// settingsVariable is the environment variable with the settings of an entry host. When it is set, the test binary runs
// as that host, so that a test can kill it.
const settingsVariable = "LYCHEELIFT_TEST_ENTRY"

func TestMain(m *testing.M) {
	if text := os.Getenv(settingsVariable); text != "" {
		os.Exit(runEntry([]byte(text)))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func runEntry(text []byte) int {
	var s settings.Entry
	if err := json.Unmarshal(text, &s); err != nil {
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	srv, err := server.New(s, time.Now)
	if err == nil {
		err = srv.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// controlServer is a control host that serves one configuration version.
type controlServer struct {
	peerv1.UnimplementedControlServiceServer

	mu      sync.Mutex
	version *statev1.Version
}

func (c *controlServer) Fetch(_ context.Context, in *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.GetVersion() >= c.version.GetNumber() {
		return &peerv1.FetchResponse{}, nil
	}
	return &peerv1.FetchResponse{Version: c.version}, nil
}

type entry struct {
	name, callers, peers string
	command              *exec.Cmd
}

// cluster is a data centre of entry host processes, with stand-in backend servers in the test's own process.
type cluster struct {
	t          testing.TB
	control    *controlServer
	address    string
	entries    map[string]*entry
	names      []string
	leaves     map[string]*leaf.Leaf
	dispatcher *dispatcher.Dispatcher

	mu       sync.Mutex
	owner    map[string]string
	sequence int
}

func newCluster(t testing.TB, hosts, leaves int, configure func(*leaf.Config)) *cluster {
	k := &cluster{t: t, entries: make(map[string]*entry), leaves: make(map[string]*leaf.Leaf), owner: make(map[string]string)}
	members := make(map[string]any)
	addresses, err := reserver.Addresses(2 * hosts)
	qt.Assert(t, err, qt.IsNil)
	for i := range hosts {
		e := &entry{name: fmt.Sprintf("entry-%d", i), callers: addresses[2*i], peers: addresses[2*i+1]}
		k.entries[e.name] = e
		k.names = append(k.names, e.name)
		members[e.name] = map[string]any{"center": "c", "address": e.peers}
	}
	k.serveControl(map[string]any{"centers": map[string]any{"c": map[string]any{"region": "r"}}, "hosts": members, "services": map[string]any{"desk": map[string]any{}}})
	for _, name := range k.names {
		k.launch(name)
	}
	k.dispatcher = dispatcher.New("test", nil, k)
	t.Cleanup(k.dispatcher.Close)
	for i := range leaves {
		k.addLeaf(i, configure)
	}
	return k
}

func (k *cluster) serveControl(document map[string]any) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(k.t, err, qt.IsNil)
	text, err := json.Marshal(document)
	qt.Assert(k.t, err, qt.IsNil)
	k.control = &controlServer{version: &statev1.Version{Number: 1, Document: text}}
	k.address = listener.Addr().String()
	s := grpc.NewServer()
	peerv1.RegisterControlServiceServer(s, k.control)
	go func() { _ = s.Serve(listener) }()
	k.t.Cleanup(s.Stop)
}

func (k *cluster) launch(name string) {
	e := k.entries[name]
	text, err := json.Marshal(map[string]any{
		"name": name, "center": "c", "listen": map[string]any{"callers": e.callers, "peers": e.peers},
		"control": []string{k.address}, "grace": "100ms", "tls": map[string]any{"off": true},
	})
	qt.Assert(k.t, err, qt.IsNil)
	e.command = exec.Command(os.Args[0])
	e.command.Env = append(os.Environ(), settingsVariable+"="+string(text))
	if testing.Verbose() {
		e.command.Stderr = os.Stderr
	}
	qt.Assert(k.t, e.command.Start(), qt.IsNil)
	process := e.command
	k.t.Cleanup(func() {
		_ = process.Process.Kill()
		_, _ = process.Process.Wait()
	})
}

// Dial implements the dispatcher's dialer with the addresses of the entry hosts.
func (k *cluster) Dial(host string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+k.entries[host].peers, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

func (k *cluster) addLeaf(i int, configure func(*leaf.Config)) {
	c := leaf.Config{
		Name: fmt.Sprintf("desk-%d-0", i), Center: "c", Service: "desk", Slots: 2, Connections: 8,
		Holdings: []*backendv1.Holding{{Snapshot: 1, Shard: uint32(i), Shards: 64}}, Address: "127.0.0.1:0", Seed: uint64(i),
		Behaviour: leaf.Behaviour{Latency: 2 * time.Millisecond, ColdCapacity: 1, WarmUpCalls: 50},
	}
	for _, name := range k.names {
		c.Entries = append(c.Entries, k.entries[name].callers)
	}
	if configure != nil {
		configure(&c)
	}
	l := leaf.New(c)
	ctx, stop := context.WithCancel(context.Background())
	qt.Assert(k.t, l.Start(ctx, time.Now()), qt.IsNil)
	k.t.Cleanup(func() {
		stop()
		l.Stop()
	})
	k.leaves[c.Name] = l
	go l.Announce(ctx)
}

// call sends one call to the last known owner of the leaf, or else to any host. It updates the known owner from
// not-owner answers.
func (k *cluster) call(i int, body string, timeout time.Duration) *peerv1.CallResult {
	return k.callAs("", i, body, timeout)
}

func (k *cluster) callAs(tenant string, i int, body string, timeout time.Duration) *peerv1.CallResult {
	name := fmt.Sprintf("desk-%d-0", i)
	k.mu.Lock()
	k.sequence++
	attempt := fmt.Sprintf("test/%d", k.sequence)
	owner, ok := k.owner[name]
	if !ok {
		owner = k.names[k.sequence%len(k.names)]
	}
	k.mu.Unlock()
	results := dispatcher.NewMailbox()
	defer results.Close()
	k.dispatcher.Send(owner, &peerv1.Call{
		Attempt: attempt, Service: "desk", Snapshot: 1, Shard: uint32(i), Leaf: name, Body: []byte(body), Timeout: durationpb.New(timeout), Tenant: tenant,
	}, results)
	var out *peerv1.CallResult
	select {
	case <-results.Ready():
		out = results.Take()[0]
	case <-time.After(timeout + 2*time.Second):
		// The owner does not answer: the next call goes to another host.
		out = &peerv1.CallResult{Reason: callerv1.Reason_REASON_CONNECTION_LOST}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch out.GetReason() {
	case callerv1.Reason_REASON_UNSPECIFIED:
		k.owner[name] = owner
	case callerv1.Reason_REASON_NOT_OWNER, callerv1.Reason_REASON_CONNECTION_LOST, callerv1.Reason_REASON_NO_REPLICA, callerv1.Reason_REASON_REMOVED:
		delete(k.owner, name)
		if out.GetOwner() != "" {
			k.owner[name] = out.GetOwner()
		}
	}
	return out
}

func (k *cluster) lastOwner(leaf string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner[leaf]
}

// waitForReason repeats a call until it returns the wanted reason.
func (k *cluster) waitForReason(i int, reason callerv1.Reason) {
	for {
		if k.call(i, "probe", time.Second).GetReason() == reason {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startLoad sends calls to every leaf, more at a time than the leaf has slots, until stop is called. stop returns the
// count of each reason.
func (k *cluster) startLoad(workers int) (stop func() map[callerv1.Reason]int) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	reasons := make(map[callerv1.Reason]int)
	for w := range workers * len(k.leaves) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				out := k.call(w%len(k.leaves), "load", time.Second)
				mu.Lock()
				reasons[out.GetReason()]++
				mu.Unlock()
				if out.GetReason() != callerv1.Reason_REASON_UNSPECIFIED {
					time.Sleep(10 * time.Millisecond)
				}
			}
		}()
	}
	return func() map[callerv1.Reason]int {
		close(done)
		wait.Wait()
		return reasons
	}
}

// assertWithinLimits asserts that no stand-in got calls above its slots or cold capacity, connections above its limit,
// or a call of an earlier owner after one of a later owner.
func (k *cluster) assertWithinLimits() {
	for name, l := range k.leaves {
		r := l.Record()
		note := qt.Commentf("%s: %+v", name, r)
		qt.Check(k.t, r.ExcessCalls, qt.Equals, int64(0), note)
		qt.Check(k.t, r.ColdExcessCalls, qt.Equals, int64(0), note)
		qt.Check(k.t, r.RefusedConnections, qt.Equals, int64(0), note)
		qt.Check(k.t, r.StaleCalls, qt.Equals, int64(0), note)
	}
}

// Guards against load above the capacity of the backend servers while an owner is killed and restarted, leaves start
// cold, a server crashes and connections stop carrying data.
func TestNeverAboveWhatLeavesBear(t *testing.T) {
	k := newCluster(t, 3, 4, func(c *leaf.Config) { c.Behaviour.CrashBody = "crash" })
	for i := range len(k.leaves) {
		k.waitForReason(i, callerv1.Reason_REASON_UNSPECIFIED)
	}
	stop := k.startLoad(6)
	time.Sleep(time.Second)
	victim := k.lastOwner("desk-0-0")
	_ = k.entries[victim].command.Process.Kill()
	_, _ = k.entries[victim].command.Process.Wait()
	k.waitForReason(0, callerv1.Reason_REASON_UNSPECIFIED)
	k.launch(victim)
	for _, l := range k.leaves {
		l.UpdateBehaviour(func(b *leaf.Behaviour) { b.SilenceGeneration++ })
	}
	time.Sleep(2 * time.Second)
	reasons := stop()
	t.Logf("reasons under load: %v", reasons)
	for i := range len(k.leaves) {
		k.waitForReason(i, callerv1.Reason_REASON_UNSPECIFIED)
	}
	k.assertWithinLimits()
	k.waitForReason(1, callerv1.Reason_REASON_UNSPECIFIED)
	qt.Check(t, k.call(1, "crash", 2*time.Second).GetReason(), qt.Equals, callerv1.Reason_REASON_CRASHED)
	k.waitForReason(1, callerv1.Reason_REASON_UNSPECIFIED)
	stop = k.startLoad(6)
	time.Sleep(time.Second)
	stop()
	k.assertWithinLimits()
}

// Guards against calls to a draining leaf, and against a graceful stop of the owner that aborts calls in progress.
func TestDrainCutsNothing(t *testing.T) {
	k := newCluster(t, 3, 2, func(c *leaf.Config) {
		c.Behaviour.Latency = 20 * time.Millisecond
		c.Behaviour.WarmUpCalls = 0
	})
	k.waitForReason(0, callerv1.Reason_REASON_UNSPECIFIED)
	k.waitForReason(1, callerv1.Reason_REASON_UNSPECIFIED)
	results := make(chan *peerv1.CallResult, 1)
	go func() { results <- k.call(0, "slow", time.Second) }()
	time.Sleep(5 * time.Millisecond)
	victim := k.entries[k.lastOwner("desk-0-0")]
	_ = victim.command.Process.Signal(syscall.SIGTERM)
	qt.Check(t, (<-results).GetReason(), qt.Equals, callerv1.Reason_REASON_UNSPECIFIED)
	state, err := victim.command.Process.Wait()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, state.Success(), qt.IsTrue)
	k.waitForReason(0, callerv1.Reason_REASON_UNSPECIFIED)
	k.leaves["desk-1-0"].SetState(backendv1.State_STATE_DRAINING)
	k.waitForReason(1, callerv1.Reason_REASON_DRAINING)
	k.assertWithinLimits()
}

// Guards against an owner that is paused and, after it resumes, sends calls under a lease that has expired.
func TestPausedOwnerSendsNothing(t *testing.T) {
	k := newCluster(t, 3, 1, func(c *leaf.Config) { c.Behaviour.WarmUpCalls = 0 })
	k.waitForReason(0, callerv1.Reason_REASON_UNSPECIFIED)
	stop := k.startLoad(4)
	time.Sleep(300 * time.Millisecond)
	victim := k.lastOwner("desk-0-0")
	process := k.entries[victim].command.Process
	qt.Assert(t, process.Signal(syscall.SIGSTOP), qt.IsNil)
	for k.lastOwner("desk-0-0") == victim || k.lastOwner("desk-0-0") == "" {
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, process.Signal(syscall.SIGCONT), qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	stop()
	k.assertWithinLimits()
}
