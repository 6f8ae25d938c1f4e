package replica_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"lycheelift.example/controld/replica"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// countingMachine notes the index of the last command that each snapshot includes.
type countingMachine struct {
	mu        sync.Mutex
	applied   uint64
	snapshots []uint64
}

func (m *countingMachine) Apply(index uint64, _ *statev1.Command) *statev1.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	return &statev1.Result{}
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshots = append(m.snapshots, m.applied)
	return nil, nil
}

func (m *countingMachine) Restore(index uint64, _ []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	return nil
}

func (m *countingMachine) lastApplied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

const (
	snapshotInterval = 8
	electionTimeout  = 300 * time.Millisecond
)

// runReplica runs a replica of a group in this process until the test ends. It returns the replica, and a function that stops
// it.
func runReplica(t *testing.T, host string, members []replica.Peer, machine replica.Machine, options ...replica.Option) (*replica.Replica, func()) {
	r, err := replica.Open(replica.Config{
		Host: host, Members: members, Election: electionTimeout, Heartbeat: 50 * time.Millisecond, SnapshotInterval: snapshotInterval, Clock: time.Now,
	}, t.TempDir(), machine, options...)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	t.Cleanup(stop)
	return r, stop
}

// single is a group of one host.
func single() []replica.Peer {
	return []replica.Peer{{Host: "a", Address: "127.0.0.1:1"}}
}

func propose(ctx context.Context, r *replica.Replica, id int) error {
	begin := &statev1.Begin{Tenant: "galati", Key: fmt.Sprint("key-", id)}
	_, err := r.Propose(ctx, &statev1.Command{Kind: &statev1.Command_Begin{Begin: begin}})
	return err
}

// runGroup runs a group of replicas with the given disks and stores their machines.
func runGroup(t *testing.T, disks []disk, machines []*countingMachine) []*replica.Replica {
	var out []*replica.Replica
	listeners, members := listen(t, "a", "b", "c")
	for i, m := range members {
		machines[i] = &countingMachine{}
		r, _ := runReplica(t, m.Host, members, machines[i], replica.WithFiles(disks[i].wrap))
		server := grpc.NewServer()
		peerv1.RegisterReplicaServiceServer(server, r.Service())
		go func() { _ = server.Serve(listeners[i]) }()
		t.Cleanup(server.Stop)
		out = append(out, r)
	}
	return out
}

// listen opens a listener for each host of a group.
func listen(t *testing.T, hosts ...string) ([]net.Listener, []replica.Peer) {
	var listeners []net.Listener
	var members []replica.Peer
	for _, host := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		listeners, members = append(listeners, l), append(members, replica.Peer{Host: host, Address: l.Addr().String()})
	}
	return listeners, members
}

// hosts is the size of a group.
const hosts = 3

// changer proposes changes to the hosts of a group in turn.
type changer struct {
	t        *testing.T
	replicas []*replica.Replica
	count    int
}

// attempt proposes a change to the next host and reports whether it was accepted.
func (c *changer) attempt() bool {
	c.count++
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return propose(ctx, c.replicas[c.count%len(c.replicas)], c.count) == nil
}

// change proposes changes until one is accepted.
func (c *changer) change() {
	c.t.Helper()
	eventually(c.t, "a change that is accepted", c.attempt)
}

// eventually polls a condition until it holds, and fails the test after conditionTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}
