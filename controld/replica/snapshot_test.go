package replica_test

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

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
