package replica_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/controld/replica"
	"lycheelift.example/lib/journaler"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// operation is a step of writing a file that a full disk may refuse.
type operation int

const (
	create operation = iota + 1
	write
	rename
	anyWrite
)

// fault makes an operation fail on files whose names begin with a prefix, but for the first ones.
type fault struct {
	operation operation
	prefix    string
	first     int
}

// disk is a data folder whose disk is full for some operations. It may be used from several goroutines.
type disk struct {
	journaler.FileSystem

	mu sync.Mutex
	// full is the fault; nil while there is room.
	full *fault
	// refused counts the operations that were refused since the disk was filled.
	refused int
	// syncTime is how long each sync takes. It does not change.
	syncTime time.Duration
}

func (d *disk) wrap(fs journaler.FileSystem) journaler.FileSystem {
	d.FileSystem = fs
	return d
}

func (d *disk) fill(f fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.refused = &f, 0
}

func (d *disk) free() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = nil
}

func (d *disk) refusals() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

func (d *disk) check(o operation, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full == nil || d.full.operation != o && d.full.operation != anyWrite || !strings.HasPrefix(name, d.full.prefix) {
		return nil
	}
	if d.full.first > 0 {
		d.full.first--
		return nil
	}
	d.refused++
	return syscall.ENOSPC
}

// Create opens a file whose writes may be refused.
func (d *disk) Create(name string) (journaler.File, error) {
	if err := d.check(create, name); err != nil {
		return nil, err
	}
	f, err := d.FileSystem.Create(name)
	return &fileOnDisk{File: f, disk: d, name: name}, err
}

// Sync syncs the folder.
func (d *disk) Sync() error {
	time.Sleep(d.syncTime)
	return d.FileSystem.Sync()
}

// Rename renames a file.
func (d *disk) Rename(from, to string) error {
	if err := d.check(rename, to); err != nil {
		return err
	}
	return d.FileSystem.Rename(from, to)
}

type fileOnDisk struct {
	journaler.File

	disk *disk
	name string
}

// Write writes half of the data to a full disk.
func (f *fileOnDisk) Write(data []byte) (int, error) {
	if err := f.disk.check(write, f.name); err != nil {
		n, writeErr := f.File.Write(data[:len(data)/2])
		return n, errors.Join(err, writeErr)
	}
	return f.File.Write(data)
}

// Sync syncs the file.
func (f *fileOnDisk) Sync() error {
	time.Sleep(f.disk.syncTime)
	return f.File.Sync()
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
