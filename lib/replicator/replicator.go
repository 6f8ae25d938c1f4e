// Package replicator implements a replicated log as a state machine without I/O. Its inputs are events and the current
// time; its outputs are messages, records to persist and committed records. It is deterministic for a given seed.
//
// The protocol is Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, USENIX
// ATC 2014). Pre-vote (section 9.6), check-quorum (6.2), hand-over of leadership (3.10), learners and
// single-server changes of members (4.1, 4.2.1) and read index (6.4) follow Ongaro, Consensus: Bridging
// Theory and Practice, 2014. A leader changes members only after it has committed a record of its own
// term, which fixes a bug in the single-server change (Ongaro, raft-dev list, July 2015).
//
// Raft assumes that a server never loses what it has acknowledged. A member is therefore identified by host and
// incarnation, where a new data folder has a new incarnation. A replica accepts only messages addressed to
// its own incarnation, so a host that has lost its disk neither votes nor acknowledges under its old identity.
// The leader replaces the old identity with a learner through the log and promotes that learner, again
// through the log, once it has caught up. Each step is an ordinary single-server change, so any majority
// of the members in force holds every committed record (compare Viewstamped Replication Revisited, Liskov
// and Cowling 2012, section 4.3, where a recovering replica also abstains until it is up to date).
package replicator

import (
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Role is what a replica does in its term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

const (
	// batchCount (records) and batchSize (bytes) limit the size of an append request.
	batchCount = 1024
	batchSize  = 1 << 20
	// initialElectionDivisor divides the election timeout of a replica that has had no contact with a leader since its
	// start.
	initialElectionDivisor = 3
	// maxQuickElections is the number of elections of such a replica after which its timeout is no longer divided. The divided
	// timeout may be shorter than a slow disk needs to store the votes.
	maxQuickElections = 1
	// defaultChunk is the size of a snapshot chunk in bytes; it stays below gRPC's message limit of 4 MiB.
	defaultChunk = 1 << 20
)

// ErrNotLeader is returned for operations that only the leader can perform; nothing was recorded.
var ErrNotLeader = errors.New("this replica is not the leader")

// Config holds the settings of a replica.
type Config struct {
	Host string
	// Election is the minimum election timeout. The actual timeout is drawn at random between one and two times this
	// value.
	Election time.Duration
	// Heartbeat is the interval between the leader's heartbeats.
	Heartbeat time.Duration
	// RetainedRecords is the number of records before the end of a snapshot that are retained for slow followers.
	RetainedRecords uint64
	// Chunk is the size of a snapshot chunk in bytes; zero means 1 MiB.
	Chunk int
	// MaxVoters is the maximum number of voters to which learners are promoted; zero means the maximum group size.
	MaxVoters int
	// RemoveAfter is the time without contact after which the leader removes a member. Voters are removed only as long as
	// at least MinVoters of them remain. Zero disables removal.
	RemoveAfter time.Duration
	MinVoters   int
	// Seed is the random seed of the election timeouts.
	Seed uint64
	// Violation is called for violated invariants; if it is nil, they panic.
	Violation Violation
}

// Durable is the persisted state from which a replica starts.
type Durable struct {
	State    *statev1.HardState
	Snapshot *statev1.Snapshot // nil without a snapshot
	Records  []*statev1.Record // the records after the snapshot
	// Commit is the highest index that is known to be committed; it may be lower than the last record's.
	Commit uint64
}

// Ready is the work that the caller must do after a step: send Early, persist State, Snapshot and Records in this
// order, call Persisted, send Messages, and then restore the snapshot or apply the committed records.
type Ready struct {
	// Early holds messages that may be sent before the rest is durable.
	Unsynced []Message
	// State is the hard state to persist, or nil.
	State *statev1.HardState
	// Snapshot replaces the log and the state machine's state, or is nil.
	Snapshot *statev1.Snapshot
	// Records are to be appended; they replace existing records with the same or higher indexes.
	Records []*statev1.Record
	// Commit is the index up to which the log is known to be committed.
	Commit uint64
	// Messages must be sent only after the rest is durable.
	Messages []Message
	// Committed records are to be applied in order.
	Committed []*statev1.Record
	// Reads are linearizable once the state machine has applied their index.
	Reads []Read
}

// Read is a read that may be served once the state machine has applied Index.
type Read struct {
	ID    uint64
	Index uint64
}

type configuration struct {
	index   uint64
	members *statev1.Members
}

// Replicator is one replica. It is not safe for concurrent use.
type Replicator struct {
	config Config
	random *rand.Rand

	state        *statev1.HardState
	stateChanged bool
	log          log
	snapshot     *statev1.Snapshot
	// configurations are the member sets in the log. The first one is committed, the last one is in force.
	configurations []configuration
	commit         uint64
	applied        uint64 // last index returned by Ready as committed
	emitted        uint64 // last index returned by Ready for persistence
	persisted      uint64
	lastTime       time.Time // time of the newest command

	role              Role
	leader            string
	lastLeaderContact time.Time // of the last contact with a leader, or on the leader with a majority
	electionAt        time.Time
	votes             map[string]bool
	elections         int // elections that this replica has begun since its start

	progress         map[string]*progress
	termStart        uint64 // index of the leader's first record of its term
	heartbeatAt      time.Time
	successor        string
	handOverDeadline time.Time

	round  uint64
	rounds []sentRound // those that no majority has answered yet, oldest first
	reads  []pendingRead
	// majorityAt is the sending time of the newest round that a majority has answered in this term. handedOver is true when
	// this replica has asked another one to take over in this term.
	majorityAt time.Time
	handedOver bool
	install    *incomingSnapshot

	early             []Message
	messages          []Message
	confirm           []Read
	installedSnapshot *statev1.Snapshot
}

// New returns a replica that continues from its persisted state.
func New(c Config, d Durable, now time.Time) *Replicator {
	if c.Chunk == 0 {
		c.Chunk = defaultChunk
	}
	r := &Replicator{
		config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed)), //nolint:gosec // Election times need no secrecy.
		state: proto.Clone(d.State).(*statev1.HardState), snapshot: d.Snapshot,
	}
	r.log.reset(d.Snapshot.GetIndex(), d.Snapshot.GetTerm())
	r.configurations = []configuration{{index: d.Snapshot.GetIndex(), members: d.Snapshot.GetMembers()}}
	r.lastTime = d.Snapshot.GetTime().AsTime()
	r.commit, r.applied = r.log.base, r.log.base
	for _, record := range d.Records {
		r.appendRecord(record)
	}
	r.emitted, r.persisted = r.log.last(), r.log.last()
	r.commit = max(r.commit, min(d.Commit, r.log.last()))
	r.resetElection(now)
	if r.voter() && r.quorum(func(host string) bool { return host == c.Host }) {
		r.electionAt = now // A single voter need not wait for another leader.
	}
	return r
}

// appendRecord appends a record. A member set in it takes effect at once, as section 4.1 of the dissertation requires.
func (r *Replicator) appendRecord(record *statev1.Record) {
	r.log.records = append(r.log.records, record)
	if m := record.GetCommand().GetMembers(); m != nil {
		r.configurations = append(r.configurations, configuration{index: record.GetIndex(), members: m})
	}
	if t := record.GetCommand().GetTime().AsTime(); t.After(r.lastTime) {
		r.lastTime = t
	}
}

// Tick does the work that is due at a time: elections, and on the leader heartbeats and membership changes.
func (r *Replicator) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.electionAt) {
		r.resetElection(now)
		if r.electable() {
			r.campaign(now, true, false)
		}
	}
}

// Step handles a message from another replica.
func (r *Replicator) Step(now time.Time, m Message) {
	if m.To != r.config.Host {
		return
	}
	if m.Target != r.state.GetIncarnation() {
		r.refuseTarget(m)
		return
	}
	if p := r.progress[m.From]; p != nil && !m.request() && p.incarnation != m.Incarnation {
		r.noteIncarnation(now, m)
		return
	}
	if m.Term > r.state.GetTerm() && !r.adoptTerm(now, m) {
		return
	}
	if m.Term < r.state.GetTerm() {
		if m.request() {
			r.send(r.reply(m))
		}
		return
	}
	r.handle(now, m)
}

func (r *Replicator) handle(now time.Time, m Message) {
	switch m.Kind {
	case VoteRequest:
		r.handleVoteRequest(now, m)
	case VoteResponse:
		r.handleVoteResponse(now, m)
	case AppendRequest:
		r.handleAppendRequest(now, m)
	case AppendResponse:
		r.handleAppendResponse(now, m)
	case InstallRequest:
		r.handleInstallRequest(now, m)
	case InstallResponse:
		r.handleInstallResponse(now, m)
	case HandOver:
		if r.voter() && r.role != Leader {
			r.campaign(now, false, true)
		}
	}
}

// refuseTarget rejects a request that is addressed to another incarnation of this host. The response tells the leader
// the current incarnation.
func (r *Replicator) refuseTarget(m Message) {
	if !m.request() {
		return
	}
	if m.Target > r.state.GetIncarnation() && r.Blank() {
		// The incarnation of an earlier data folder came from a clock that was ahead. Incarnations must increase, or
		// the leader would treat the current one as older.
		r.state.Incarnation = m.Target + 1
		r.stateChanged = true
	}
	r.send(r.reply(m))
}

// adoptTerm handles the higher term of a message. It returns false when the message needs no further processing.
func (r *Replicator) adoptTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case VoteRequest:
		if r.hasLeaderContact(now) && !m.Forced {
			// This replica is in contact with a leader. A host that is not must not depose it (section 4.2.3).
			r.send(r.reply(m))
			return false
		}
		if m.Pre {
			r.handle(now, m)
			return false
		}
	case VoteResponse:
		if m.Pre && m.Granted {
			r.handleVoteResponse(now, m)
			return false
		}
	}
	r.becomeFollower(now, m.Term, "")
	return true
}

// hasLeaderContact reports whether this replica is the leader or had contact with it within the minimum election
// timeout.
func (r *Replicator) hasLeaderContact(now time.Time) bool {
	return r.role == Leader || r.leader != "" && now.Sub(r.lastLeaderContact) < r.config.Election
}

// becomeFollower becomes a follower in a term. An empty leader means that the leader is unknown.
func (r *Replicator) becomeFollower(now time.Time, term uint64, leader string) {
	if term > r.state.GetTerm() {
		r.state.Term, r.state.Vote = term, ""
		r.stateChanged = true
		r.leader = ""
	}
	if r.role == Leader {
		r.leader = ""
	}
	if leader != "" {
		r.leader, r.lastLeaderContact = leader, now
	}
	r.role, r.progress, r.reads, r.successor, r.votes = Follower, nil, nil, "", nil
	r.rounds, r.majorityAt = nil, time.Time{}
	r.resetElection(now)
}

// resetElection draws the time of the next election. A replica that has had no contact with a leader since its start at first
// uses a fraction of the election timeout: after all hosts were lost there is no leader to disturb, and an existing leader is
// protected by the pre-vote.
func (r *Replicator) resetElection(now time.Time) {
	timeout := r.config.Election
	if r.lastLeaderContact.IsZero() && r.elections <= maxQuickElections {
		timeout /= initialElectionDivisor
	}
	r.electionAt = now.Add(timeout + time.Duration(r.random.Int64N(int64(timeout))))
}

// send queues a message to be sent once the state is durable.
func (r *Replicator) send(m Message) {
	r.messages = append(r.messages, m)
}

// Propose appends commands to the leader's log and returns the index of the first one and the term. The times of
// commands in the log never decrease.
func (r *Replicator) Propose(now time.Time, commands ...*statev1.Command) (index, term uint64, err error) {
	if r.role != Leader || r.successor != "" {
		return 0, 0, ErrNotLeader
	}
	index = r.log.last() + 1
	for _, c := range commands {
		r.appendCommand(now, c)
	}
	r.replicate(now)
	return index, r.state.GetTerm(), nil
}

// appendCommand appends one command in the leader's term.
func (r *Replicator) appendCommand(now time.Time, c *statev1.Command) {
	if now.After(r.lastTime) {
		r.lastTime = now
	}
	c = proto.Clone(c).(*statev1.Command)
	c.Time = timestamppb.New(r.lastTime)
	r.appendRecord(&statev1.Record{Index: r.log.last() + 1, Term: r.state.GetTerm(), Command: c})
}

// Ready returns the pending work, and false when there is none.
func (r *Replicator) Ready() (Ready, bool) {
	out := Ready{Unsynced: r.early, Messages: r.messages, Snapshot: r.installedSnapshot, Reads: r.confirm, Commit: r.commit}
	if r.stateChanged {
		out.State = proto.Clone(r.state).(*statev1.HardState)
		// The early messages carry a term that is not durable yet.
		out.Unsynced, out.Messages = nil, append(out.Unsynced, out.Messages...)
	}
	if last := r.log.last(); r.emitted < last {
		out.Records = r.log.records[r.emitted-r.log.base:]
		out.Records = out.Records[:len(out.Records):len(out.Records)]
		r.emitted = last
	}
	if r.applied < r.commit {
		out.Committed = r.log.recordsFrom(r.applied+1, int(r.commit-r.applied), batchSize) //nolint:gosec // Log sizes fit an int.
		r.applied += uint64(len(out.Committed))
	}
	r.early, r.messages, r.installedSnapshot, r.confirm, r.stateChanged = nil, nil, nil, nil, false
	pendingWork := len(out.Unsynced)+len(out.Messages)+len(out.Records)+len(out.Committed)+len(out.Reads) > 0
	return out, pendingWork || out.State != nil || out.Snapshot != nil
}

// Persisted reports that everything returned by Ready is durable.
func (r *Replicator) Persisted(now time.Time) {
	r.persisted = r.emitted
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// Compact stores the state machine's state at an applied index as the new snapshot, discards older records and returns
// the snapshot, or nil if the index is not in the log.
func (r *Replicator) Compact(index uint64, state []byte) *statev1.Snapshot {
	term, ok := r.log.term(index)
	if !ok || !r.invariant(index <= r.applied, "snapshot at %d beyond the applied index %d", index, r.applied) {
		return nil
	}
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
	r.snapshot = &statev1.Snapshot{
		Index: index, Term: term, Members: r.configurations[0].members, Time: timestamppb.New(r.lastTime), State: state,
	}
	if index > r.config.RetainedRecords {
		r.log.compact(max(r.log.base, index-r.config.RetainedRecords))
	}
	return r.snapshot
}
