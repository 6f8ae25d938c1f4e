package replica_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/controld/replica"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// A disk is full when a snapshot is due, and has room again soon after. Guards against a host that tries the same snapshot again
// before it has read its log, fails each time and refuses all changes for good.
func TestDiskThatIsFullAtASnapshot(t *testing.T) {
	var d disk
	machine := &countingMachine{}
	r, _ := runReplica(t, "a", single(), machine, replica.WithFiles(d.wrap))
	c := &changer{t: t, replicas: []*replica.Replica{r}}
	for _, f := range []fault{{create, "snapshot-", 0}, {write, "snapshot-", 0}, {rename, "snapshot-", 0}, {create, "log-", 0}} {
		d.fill(f)
		eventually(t, "a snapshot that is refused", func() bool {
			c.attempt()
			return d.refusals() > 0
		})
		d.free()
		eventually(t, "changes while the disk has room", c.attempt)
	}
}

// The disk of the host that creates a group is full when it writes the first record. Guards against a group that is never
// created, because the host no longer counts as blank or no longer tries.
func TestDiskThatIsFullAtTheBootstrap(t *testing.T) {
	// The first write of the hard state stores the incarnation.
	for _, f := range []fault{{create, "state", 1}, {rename, "state", 1}, {create, "log-", 0}, {write, "log-", 0}} {
		var d disk
		d.fill(f)
		r, stop := runReplica(t, "a", single(), &countingMachine{}, replica.WithFiles(d.wrap))
		eventually(t, "a refused write", func() bool { return d.refusals() > 0 })
		d.free()
		c := &changer{t: t, replicas: []*replica.Replica{r}}
		c.change()
		stop()
	}
}

// The disks of all control hosts are full for a moment, one after another, never two at once. Guards against hosts that refuse
// changes or do not answer them after the last disk has room again, while all processes run.
func TestDisksThatAreFullOneAfterAnother(t *testing.T) {
	disks, machines := make([]disk, hosts), make([]*countingMachine, hosts)
	c := &changer{t: t, replicas: runGroup(t, disks, machines)}
	c.change()
	for _, f := range []fault{{anyWrite, "", 0}, {write, "snapshot-", 0}, {rename, "snapshot-", 0}, {create, "log-", 0}} {
		for i := range disks {
			disks[i].fill(f)
			for changes := 0; disks[i].refusals() == 0 || changes < 2*snapshotInterval; changes++ {
				c.change()
			}
			disks[i].free()
		}
	}
	for range 3 * snapshotInterval {
		c.change()
	}
	eventually(t, "all hosts at the same index", func() bool {
		first, last := machines[0].lastApplied(), c.replicas[0].Status().Last
		for i, r := range c.replicas {
			if s := r.Status(); s.Failure != nil || s.Applied != last || machines[i].lastApplied() != first {
				return false
			}
		}
		return true
	})
}

// All disks need longer to store a vote than a host without a leader first waits for one. Guards against a group that never elects
// a leader, because each candidate gives up before the votes for it are stored.
func TestSlowDisksElectALeader(t *testing.T) {
	disks := make([]disk, hosts)
	for i := range disks {
		disks[i].syncTime = electionTimeout / 5
	}
	c := &changer{t: t, replicas: runGroup(t, disks, make([]*countingMachine, hosts))}
	c.change()
}

// A host that lags behind gets a snapshot from the leader. Its disk becomes full when the snapshot is durable, but not yet taken
// over. Guards against a host that opens the log behind the snapshot and then refuses each record as out of order for good.
func TestDiskThatIsFullWhileASnapshotIsInstalled(t *testing.T) {
	var d disk
	machine := &countingMachine{}
	members := []replica.Peer{{Host: "a", Address: "127.0.0.1:1"}, {Host: "b", Address: "127.0.0.1:2"}, {Host: "c", Address: "127.0.0.1:3"}}
	r, _ := runReplica(t, "b", members, machine, replica.WithFiles(d.wrap))
	service, ctx := r.Service(), context.Background()
	target := r.Status().Incarnation
	state := &statev1.Members{Replicas: []*statev1.Replica{{Host: "a", Incarnation: 1}, {Host: "b", Incarnation: target}, {Host: "c", Incarnation: 3}}}
	data, err := proto.Marshal(&statev1.Snapshot{Index: 20, Term: 2, Members: state})
	qt.Assert(t, err, qt.IsNil)
	d.fill(fault{create, "log-", 0})
	_, err = service.Install(ctx, &peerv1.InstallRequest{
		Leader: "a", Receiver: "b", Incarnation: 1, Target: target, Term: 3, Index: 20, Tail: 2, Data: data, Done: true,
	})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, d.refusals() > 0, qt.IsTrue)
	d.free()
	record := &statev1.Record{Index: 21, Term: 3, Command: &statev1.Command{Kind: &statev1.Command_Begin{Begin: &statev1.Begin{Key: "k"}}}}
	eventually(t, "the records behind the snapshot", func() bool {
		_, _ = service.Append(ctx, &peerv1.AppendRequest{
			Leader: "a", Receiver: "b", Incarnation: 1, Target: target, Term: 3, Previous: 20, Tail: 2, Commit: 21, Records: []*statev1.Record{record},
		})
		return r.Status().Failure == nil && r.Status().Commit == 21
	})
	qt.Assert(t, r.Status().Applied, qt.Equals, uint64(21))
	qt.Assert(t, machine.lastApplied(), qt.Equals, uint64(21))
}
