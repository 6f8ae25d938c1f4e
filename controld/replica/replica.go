// Package replica runs the replicated log of a control host: it drives the replicator with a clock, stores its state
// through the journaler and sends its messages over gRPC.
//
// One goroutine owns all state. It handles all queued events, makes them durable with one sync (group commit) and then
// sends the responses.
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
// Apply receives only the commands of the machine, neither the first record of a leader nor changes of members.
type Machine interface {
	Apply(index uint64, command *statev1.Command) *statev1.Result
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot that includes the log up to an index.
	Restore(index uint64, state []byte) error
}

// Peer is an initial member of the group.
type Peer struct {
	Host, Address string
}

// Config holds the settings of a replica.
type Config struct {
	Host string
	// Address is the replica address of this host, used when the host joins the group by itself; see JoinAddresses.
	Address string
	// Members are the initial members, including this host unless it joins an existing group.
	Members []Peer
	// Join prevents the host from bootstrapping a new group.
	Join bool
	// Center is the host's data centre, reported to the other control hosts.
	Center string
	// JoinAddresses returns addresses of control hosts that can add this host to the group. If nil, an operator must add
	// the host.
	JoinAddresses func() []string
	// MaxVoters, RemoveAfter and MinVoters are passed to the replicator.
	MaxVoters   int
	RemoveAfter time.Duration
	MinVoters   int
	// Election is the minimum time without a leader before an election.
	Election time.Duration
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// SnapshotInterval is the number of records after which a snapshot is taken, at the multiples of it. It must not be 0.
	SnapshotInterval uint64
	// Clock returns the time.
	Clock func() time.Time
	// Seed seeds the random election timeouts.
	Seed uint64
	// Dial holds additional dial options for connections to other control hosts, such as credentials.
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

// UnknownError reports that a command may or may not have been recorded. To learn the result, the caller resends the
// same command with the same identity.
type UnknownError struct{ Err error }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("the result is unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

const (
	// queueLength bounds the events that are queued for the goroutine, and so the records written in one sync.
	queueLength = 1024
	// ticksPerHeartbeat is the number of ticks in one heartbeat interval.
	ticksPerHeartbeat = 2
	// reopenInterval is the time between two attempts to reopen the log after a write failure.
	reopenInterval = 500 * time.Millisecond
	// retainDivisor gives the number of records retained behind a snapshot for slow followers:
	// SnapshotInterval / retainDivisor.
	retainDivisor = 4
)

// Replica is the log of one control host.
type Replica struct {
	config  Config
	machine Machine
	folder  *journaler.Folder
	// files is the folder, or what WithFiles has put in its place.
	files   journaler.FileSystem
	journal *journaler.Journal
	core    *replicator.Replicator
	dialer  *dialer
	events  chan func()
	stopped chan struct{}
	status  atomic.Pointer[Status]

	// The fields below are accessed only by the goroutine of Run.
	queue         []proposal
	pending       map[uint64]proposal // by index
	queuedReads   []*readRequest
	startedReads  map[uint64]*readRequest
	readID        uint64
	applied       uint64
	snapshotIndex uint64 // index of the newest snapshot
	barriers      []barrier
	responses     map[uint64]chan replicator.Message
	lastRequestID uint64
	failure       error
	failedAt      time.Time
	leading       bool
}

// Option configures a replica.
type Option func(*Replica)

// WithFiles wraps the access to the files of the data folder, for example to inject faults.
func WithFiles(wrap func(journaler.FileSystem) journaler.FileSystem) Option {
	return func(r *Replica) { r.files = wrap(r.files) }
}

// Open locks the data folder, reads the log and restores the machine. An empty folder gets a new incarnation.
func Open(c Config, path string, machine Machine, options ...Option) (*Replica, error) {
	folder, err := journaler.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config: c, machine: machine, folder: folder, files: folder, dialer: newDialer(c.Dial),
		events: make(chan func(), queueLength), stopped: make(chan struct{}),
		pending: make(map[uint64]proposal), startedReads: make(map[uint64]*readRequest), responses: make(map[uint64]chan replicator.Message),
	}
	for _, o := range options {
		o(r)
	}
	if err := r.load(); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	r.publish()
	return r, nil
}

// load opens the log, and restores the machine if the snapshot in the files includes more than the machine has applied.
func (r *Replica) load() error {
	content, err := r.open()
	if err != nil {
		return err
	}
	if s := content.Snapshot; s.GetIndex() > r.applied {
		if err := r.machine.Restore(s.GetIndex(), s.GetState()); err != nil {
			return oops.In("replica").Wrapf(err, "restore the snapshot")
		}
		r.applied = s.GetIndex()
	}
	return nil
}

// open reads the files and creates a replicator with their state.
func (r *Replica) open() (*journaler.Content, error) {
	journal, content, err := journaler.Open(r.files)
	if err != nil {
		return nil, oops.In("replica").Wrapf(err, "open the log")
	}
	r.journal = journal
	now := r.config.Clock()
	if content.Cut > 0 {
		eventer.LogTailTruncated.Log(now, "bytes", content.Cut)
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
	r.snapshotIndex = content.Snapshot.GetIndex()
	r.core = replicator.New(replicator.Config{
		Host: r.config.Host, Election: r.config.Election, Heartbeat: r.config.Heartbeat, RetainedRecords: r.config.SnapshotInterval / retainDivisor,
		Seed: r.config.Seed, Violation: r.reportViolation, MaxVoters: r.config.MaxVoters, RemoveAfter: r.config.RemoveAfter, MinVoters: r.config.MinVoters,
	}, replicator.Durable{State: content.State, Snapshot: content.Snapshot, Records: content.Records, Commit: content.Commit}, now)
	eventer.LogOpened.Log(now, "incarnation", content.State.GetIncarnation(), "term", content.State.GetTerm(),
		"snapshot", content.Snapshot.GetIndex(), "records", len(content.Records))
	return content, nil
}

// reopen reloads the files after a failed write, as a restart would, once the disk accepts writes again. A machine that is
// ahead of them keeps its state: it contains only committed commands, which the leader resends if the files lack them.
func (r *Replica) reopen() {
	_ = r.journal.Close() // The write failure has already been reported.
	if err := r.load(); err != nil {
		eventer.LogReopenFailed.Log(r.config.Clock(), "error", err.Error())
		return
	}
	r.failure = nil
	r.publish()
}

func (r *Replica) reportViolation(text string) {
	eventer.LogInvariant.Log(r.config.Clock(), "invariant", text)
}

// Run drives the log until ctx ends, then closes the files.
func (r *Replica) Run(ctx context.Context) error {
	go r.bootstrap(ctx)
	if r.config.JoinAddresses != nil {
		go r.maintainMembership(ctx)
	}
	ticker := time.NewTicker(r.config.Heartbeat / ticksPerHeartbeat)
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
	if r.failure == nil {
		r.core.Tick(now)
		return
	}
	if now.Sub(r.failedAt) >= reopenInterval {
		r.failedAt = now
		r.reopen()
	}
}

// drain handles the events that are already queued, so that one sync covers all of them.
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

// close fails all pending operations and closes the files.
func (r *Replica) close() error {
	close(r.stopped)
	r.failPending(ErrStopped)
	r.dialer.close()
	return oops.In("replica").Wrapf(errors.Join(r.journal.Close(), r.folder.Close()), "close the log")
}

// submit queues a function for the goroutine.
func (r *Replica) submit(ctx context.Context, f func()) error {
	select {
	case r.events <- f:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush proposes the queued commands and processes the output of the replicator.
func (r *Replica) flush() {
	if r.failure != nil {
		return
	}
	r.proposeQueued()
	for {
		ready, ok := r.core.Ready()
		if !ok {
			break
		}
		if err := r.process(ready); err != nil {
			r.fail(err)
			return
		}
	}
	r.trackLeadership()
	r.publish()
}

// process makes one output of the replicator durable, then sends its messages, applies its committed records and takes the
// snapshots that are due.
func (r *Replica) process(ready replicator.Ready) error {
	r.send(ready.Unsynced)
	if err := r.persist(ready); err != nil {
		return err
	}
	r.core.Persisted(r.config.Clock())
	r.send(ready.Messages)
	if s := ready.Snapshot; s != nil {
		if err := r.machine.Restore(s.GetIndex(), s.GetState()); err != nil {
			return oops.In("replica").Wrapf(err, "restore the leader's snapshot")
		}
		r.applied, r.snapshotIndex = s.GetIndex(), s.GetIndex()
		eventer.SnapshotReceived.Log(r.config.Clock(), "index", s.GetIndex())
	}
	if err := r.applyCommitted(ready.Committed); err != nil {
		return err
	}
	r.completeReads(ready.Reads)
	return nil
}

// applyCommitted applies the committed records that the machine has not applied yet and takes the snapshots that are due. After
// the log was reopened the machine may be ahead of it; a snapshot is then due only once the log has caught up.
func (r *Replica) applyCommitted(records []*statev1.Record) error {
	for _, record := range records {
		if record.GetIndex() <= r.applied {
			continue
		}
		r.apply(record)
		if !r.snapshotDue() {
			continue
		}
		if err := r.snapshot(); err != nil {
			return err
		}
	}
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

// apply applies a committed record to the machine and returns its result to the proposer.
func (r *Replica) apply(record *statev1.Record) {
	if record.GetIndex() != r.applied+1 {
		r.reportViolation(fmt.Sprintf("record %d applied out of order, after record %d", record.GetIndex(), r.applied))
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
	r.completeProposal(record, result)
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

// snapshotDue reports whether a multiple of the interval has been applied since the newest snapshot. It is asked after each
// record, so that all hosts take their snapshots at the same indexes, however many records they apply at a time.
func (r *Replica) snapshotDue() bool {
	return r.applied/r.config.SnapshotInterval > r.snapshotIndex/r.config.SnapshotInterval
}

// snapshot takes a snapshot and removes the records that it covers.
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
	r.snapshotIndex = s.GetIndex()
	eventer.SnapshotTaken.Log(r.config.Clock(), "index", s.GetIndex(), "bytes", len(state))
	return nil
}

// fail stops all acknowledgements, because the state of the files on disk is unknown after a write error.
func (r *Replica) fail(err error) {
	r.failure, r.failedAt = err, r.config.Clock()
	eventer.LogFailed.Log(r.config.Clock(), "error", err.Error())
	r.failPending(fmt.Errorf("%w: %w", ErrFailed, err))
	r.publish()
}

// trackLeadership detects that leadership was gained or lost.
func (r *Replica) trackLeadership() {
	s := r.core.Status()
	leading := s.Role == replicator.Leader
	r.failSuperseded(s.Term, leading)
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
