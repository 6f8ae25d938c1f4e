// Package replica runs the replicated log of a control host: it drives the replicator with a clock, keeps its
// files through the journaler and carries its messages over gRPC.
//
// One goroutine owns all state. It takes everything that is waiting, then makes it durable with one sync
// (group commit), then answers.
package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/journaler"
	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Machine is the state machine that the log drives. Calls come from one goroutine, in the order of the log.
// Apply gets the commands of the machine only, not a leader's first record nor changes of members.
type Machine interface {
	Apply(index uint64, command *statev1.Command) *statev1.Result
	Snapshot() ([]byte, error)
	Restore(state []byte) error
}

// Peer is a first member of the group.
type Peer struct {
	Host, Address string
}

// Config holds the settings of a replica.
type Config struct {
	Host string
	// Address is that of this host's replica, for hosts that seek the group themselves.
	Address string
	// Members are the first members, this host among them unless it joins an existing group.
	Members []Peer
	// Join keeps the host from founding a group.
	Join bool
	// Center is the host's data centre, told to the other control hosts.
	Center string
	// Seek returns addresses of control hosts that can add this host to the group. Without it an operator adds the host.
	Seek func() []string
	// Voters, Absence and Least are those of the replicator.
	Voters  int
	Absence time.Duration
	Least   int
	// Election is the least time without a leader before an election.
	Election time.Duration
	// Heartbeat is the time between two messages of the leader.
	Heartbeat time.Duration
	// Compact is the number of records after which a snapshot is taken.
	Compact uint64
	// Clock returns the time.
	Clock func() time.Time
	// Seed of the election times.
	Seed uint64
	// Dial holds further options of connections to other control hosts, such as credentials.
	Dial []grpc.DialOption
}

// Errors of a replica. Nothing was recorded when an operation returns one of them.
var (
	// ErrNoLeader means that no leader was found in time.
	ErrNoLeader = errors.New("the control group has no leader within reach")
	// ErrFailed means that this host can no longer write its log.
	ErrFailed = errors.New("this control host cannot write its log")
	// ErrStopped means that the host is stopping.
	ErrStopped = errors.New("this control host is stopping")
)

// UnknownError says that a command may or may not have been recorded. The caller learns the result by
// sending the same command with the same identity again.
type UnknownError struct{ Err error }

// Error says that the result is unknown, and why.
func (e *UnknownError) Error() string { return fmt.Sprintf("the result is unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

const (
	// queueLength bounds the events that wait for the goroutine, and so the records of one sync.
	queueLength = 1024
	// ticks is the number of ticks in a heartbeat.
	ticks = 2
	// reopenInterval is the time between two attempts to write the log again after a failure.
	reopenInterval = 500 * time.Millisecond
	// keepShare is the part of the compaction interval that is kept behind a snapshot for slow followers.
	keepShare = 4
)

// Replica is the log of one control host.
type Replica struct {
	config  Config
	machine Machine
	folder  *journaler.Folder
	journal *journaler.Journal
	core    *replicator.Replicator
	dialer  *dialer
	events  chan func()
	stopped chan struct{}
	status  atomic.Pointer[Status]

	// The fields below belong to the goroutine.
	queue    []proposal
	waiting  map[uint64]proposal // by index
	askers   []*asker
	reads    map[uint64]*asker
	readID   uint64
	applied  uint64
	compact  uint64 // index of the newest snapshot
	barriers []barrier
	tickets  map[uint64]chan replicator.Message
	ticket   uint64
	failed   error
	failedAt time.Time
	leading  bool
}

// Open locks the data folder, reads the log and restores the machine. A folder without a log gets a new incarnation.
func Open(c Config, path string, machine Machine) (*Replica, error) {
	folder, err := journaler.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config: c, machine: machine, folder: folder, dialer: newDialer(c.Dial),
		events: make(chan func(), queueLength), stopped: make(chan struct{}),
		waiting: make(map[uint64]proposal), reads: make(map[uint64]*asker), tickets: make(map[uint64]chan replicator.Message),
	}
	if err := r.load(); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return r, nil
}

// load opens the log and restores the machine.
func (r *Replica) load() error {
	content, err := r.open()
	if err != nil {
		return err
	}
	if s := content.Snapshot; s != nil {
		if err := r.machine.Restore(s.GetState()); err != nil {
			return oops.In("replica").Wrapf(err, "restore the snapshot")
		}
		r.applied = s.GetIndex()
	}
	r.publish()
	return nil
}

// open reads the files and makes the replicator that continues from them.
func (r *Replica) open() (*journaler.Content, error) {
	journal, content, err := journaler.Open(r.folder)
	if err != nil {
		return nil, oops.In("replica").Wrapf(err, "open the log")
	}
	r.journal = journal
	now := r.config.Clock()
	if content.Cut > 0 {
		eventer.LogTailCut.Log(now, "bytes", content.Cut)
	}
	if content.State.GetIncarnation() == 0 {
		if content.Snapshot != nil || len(content.Records) > 0 {
			return nil, oops.In("replica").Errorf("the data folder has a log but no hard state; remove the whole folder to start as a new member")
		}
		content.State.Incarnation = uint64(now.UnixNano())
		if err := journal.SaveState(content.State); err != nil {
			return nil, oops.In("replica").Wrapf(err, "store the incarnation")
		}
	}
	r.compact = content.Snapshot.GetIndex()
	r.core = replicator.New(replicator.Config{
		Host: r.config.Host, Election: r.config.Election, Heartbeat: r.config.Heartbeat, Keep: r.config.Compact / keepShare,
		Seed: r.config.Seed, Violation: r.violated, Voters: r.config.Voters, Absence: r.config.Absence, Least: r.config.Least,
	}, replicator.Durable{State: content.State, Snapshot: content.Snapshot, Records: content.Records, Commit: content.Commit}, now)
	eventer.LogOpened.Log(now, "incarnation", content.State.GetIncarnation(), "term", content.State.GetTerm(),
		"snapshot", content.Snapshot.GetIndex(), "records", len(content.Records))
	return content, nil
}

// reopen continues from the files after a failed write, as a restart would, when the disk takes writes again. The
// machine keeps its state: it holds committed commands only, which the leader sends again if the files lack them.
func (r *Replica) reopen() {
	_ = r.journal.Close() // The failure that counts has been reported.
	if _, err := r.open(); err != nil {
		eventer.LogUnopened.Log(r.config.Clock(), "error", err.Error())
		return
	}
	r.failed = nil
	r.publish()
}

func (r *Replica) violated(text string) {
	eventer.LogInvariant.Log(r.config.Clock(), "invariant", text)
}

// Run drives the log until ctx ends, then closes the files.
func (r *Replica) Run(ctx context.Context) error {
	go r.found(ctx)
	if r.config.Seek != nil {
		go r.seek(ctx)
	}
	ticker := time.NewTicker(r.config.Heartbeat / ticks)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.close()
		case f := <-r.events:
			f()
			r.drain()
		case <-ticker.C:
			r.tick(r.config.Clock())
		}
		r.flush()
	}
}

func (r *Replica) tick(now time.Time) {
	if r.failed == nil {
		r.core.Tick(now)
		return
	}
	if now.Sub(r.failedAt) >= reopenInterval {
		r.failedAt = now
		r.reopen()
	}
}

// drain takes the events that wait already, so that one sync serves them all.
func (r *Replica) drain() {
	for range queueLength {
		select {
		case f := <-r.events:
			f()
		default:
			return
		}
	}
}

// close refuses what waits and releases the files.
func (r *Replica) close() error {
	close(r.stopped)
	r.abandon(ErrStopped)
	r.dialer.close()
	return oops.In("replica").Wrapf(errors.Join(r.journal.Close(), r.folder.Close()), "close the log")
}

// do hands a function to the goroutine.
func (r *Replica) do(ctx context.Context, f func()) error {
	select {
	case r.events <- f:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush proposes what is queued and does the work that the replicator asks for.
func (r *Replica) flush() {
	if r.failed != nil {
		return
	}
	r.submit()
	for {
		ready, some := r.core.Ready()
		if !some {
			break
		}
		if err := r.work(ready); err != nil {
			r.fail(err)
			return
		}
	}
	r.watch()
	if r.applied-r.compact >= r.config.Compact {
		if err := r.snapshot(); err != nil {
			r.fail(err)
			return
		}
	}
	r.publish()
}

// work makes one step of the replicator durable and then lets it show.
func (r *Replica) work(ready replicator.Ready) error {
	r.send(ready.Early)
	if err := r.persist(ready); err != nil {
		return err
	}
	r.core.Persisted(r.config.Clock())
	r.send(ready.Messages)
	if s := ready.Snapshot; s != nil {
		if err := r.machine.Restore(s.GetState()); err != nil {
			return oops.In("replica").Wrapf(err, "restore the leader's snapshot")
		}
		r.applied, r.compact = s.GetIndex(), s.GetIndex()
		eventer.SnapshotArrived.Log(r.config.Clock(), "index", s.GetIndex())
	}
	for _, record := range ready.Committed {
		r.apply(record)
	}
	r.confirm(ready.Reads)
	return nil
}

func (r *Replica) persist(ready replicator.Ready) error {
	if ready.State != nil {
		if err := r.journal.SaveState(ready.State); err != nil {
			return err
		}
	}
	if ready.Snapshot != nil {
		if err := r.journal.Install(ready.Snapshot); err != nil {
			return err
		}
	}
	return r.journal.Append(ready.Records, ready.Commit)
}

// apply gives a committed record to the machine and its result to whoever waits for it.
func (r *Replica) apply(record *statev1.Record) {
	if record.GetIndex() <= r.applied {
		return // The log was reopened; the machine has this record.
	}
	if record.GetIndex() != r.applied+1 {
		r.violated(fmt.Sprintf("record %d is applied after %d", record.GetIndex(), r.applied))
		return
	}
	var result *statev1.Result
	switch kind := record.GetCommand().GetKind().(type) {
	case nil:
	case *statev1.Command_Members:
		result = &statev1.Result{Kind: &statev1.Result_Members{Members: kind.Members}}
		eventer.MembersChanged.Log(r.config.Clock(), "index", record.GetIndex(), "members", describe(kind.Members))
	default:
		result = r.machine.Apply(record.GetIndex(), record.GetCommand())
	}
	r.applied = record.GetIndex()
	r.resolve(record, result)
}

func describe(m *statev1.Members) []slog.Attr {
	out := make([]slog.Attr, 0, len(m.GetReplicas()))
	for _, x := range m.GetReplicas() {
		role := "voter"
		if x.GetLearner() {
			role = "learner"
		}
		out = append(out, slog.String(x.GetHost(), fmt.Sprintf("%s incarnation %d", role, x.GetIncarnation())))
	}
	return out
}

// snapshot takes a snapshot and drops the records that it contains.
func (r *Replica) snapshot() error {
	state, err := r.machine.Snapshot()
	if err != nil {
		return oops.In("replica").Wrapf(err, "take a snapshot")
	}
	s := r.core.Compact(r.applied, state)
	if s == nil {
		return oops.In("replica").Errorf("no snapshot could be taken at %d", r.applied)
	}
	if err := r.journal.Compact(s); err != nil {
		return err
	}
	r.compact = s.GetIndex()
	eventer.SnapshotTaken.Log(r.config.Clock(), "index", s.GetIndex(), "bytes", len(state))
	return nil
}

// fail stops all acknowledgement: what is on the disk is no longer known.
func (r *Replica) fail(err error) {
	r.failed, r.failedAt = err, r.config.Clock()
	eventer.LogFailed.Log(r.config.Clock(), "error", err.Error())
	r.abandon(fmt.Errorf("%w: %w", ErrFailed, err))
	r.publish()
}

// watch notices the gain and loss of leadership.
func (r *Replica) watch() {
	s := r.core.Status()
	leading := s.Role == replicator.Leader
	r.disown(s.Term, leading)
	if leading == r.leading {
		return
	}
	r.leading = leading
	event := eventer.LeaderLost
	if leading {
		event = eventer.LeaderElected
	}
	event.Log(r.config.Clock(), "host", r.config.Host, "term", s.Term)
}
