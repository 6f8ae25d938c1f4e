package replica_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/controld/replica"
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

// Guards against hosts with snapshots at different indexes, because one of them has applied several records at once.
func TestSnapshotsAreTakenAtTheSameIndexes(t *testing.T) {
	const commands = 100
	machine := &countingMachine{}
	r, stop := runReplica(t, "a", single(), machine)
	var all sync.WaitGroup
	for i := range commands {
		all.Go(func() { qt.Check(t, propose(context.Background(), r, i), qt.IsNil) })
	}
	all.Wait()
	stop()
	qt.Assert(t, len(machine.snapshots) >= commands/snapshotInterval, qt.IsTrue, qt.Commentf("%v", machine.snapshots))
	for i, index := range machine.snapshots {
		qt.Check(t, index, qt.Equals, uint64(i+1)*snapshotInterval)
	}
}
