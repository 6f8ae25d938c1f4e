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
	applied   uint64
	snapshots []uint64
}

func (m *countingMachine) Apply(index uint64, _ *statev1.Command) *statev1.Result {
	m.applied = index
	return &statev1.Result{}
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	m.snapshots = append(m.snapshots, m.applied)
	return nil, nil
}

func (m *countingMachine) Restore(index uint64, _ []byte) error {
	m.applied = index
	return nil
}

// Guards against hosts with snapshots at different indexes, because one of them has applied several records at once.
func TestSnapshotsAreTakenAtTheSameIndexes(t *testing.T) {
	const interval, commands = 8, 100
	machine := &countingMachine{}
	self := replica.Peer{Host: "a", Address: "127.0.0.1:1"}
	r, err := replica.Open(replica.Config{
		Host: self.Host, Address: self.Address, Members: []replica.Peer{self}, Election: time.Second, Heartbeat: 100 * time.Millisecond,
		SnapshotInterval: interval, Clock: time.Now,
	}, t.TempDir(), machine)
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	var all sync.WaitGroup
	for i := range commands {
		all.Go(func() {
			begin := &statev1.Begin{Tenant: "galati", Key: fmt.Sprint("key-", i)}
			_, err := r.Propose(ctx, &statev1.Command{Kind: &statev1.Command_Begin{Begin: begin}})
			qt.Check(t, err, qt.IsNil)
		})
	}
	all.Wait()
	stop()
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, len(machine.snapshots) >= commands/interval, qt.IsTrue, qt.Commentf("%v", machine.snapshots))
	for i, index := range machine.snapshots {
		qt.Check(t, index, qt.Equals, uint64(i+1)*interval)
	}
}
