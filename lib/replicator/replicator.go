// Package replicator is a replicated log as a state machine without I/O: events and the time go in;
// messages, records to persist and committed records come out. It is deterministic for a given seed.
//
// The protocol is Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, USENIX
// ATC 2014). Pre-vote (section 9.6), check-quorum (6.2), hand-over of leadership (3.10), learners and
// single-server changes of members (4.1, 4.2.1) and read index (6.4) follow Ongaro, Consensus: Bridging
// Theory and Practice, 2014. A leader changes members only after it has committed a record of its own
// term, which corrects a fault of the single-server change (Ongaro, raft-dev list, July 2015).
//
// Raft assumes that a server never loses what it acknowledged. A member is therefore identified by host and
// incarnation, where a new data folder has a new incarnation. A replica answers only messages addressed to
// its own incarnation, so a host whose disk was lost neither votes nor acknowledges under the old identity.
// The leader replaces the old identity by a learner through the log and promotes that learner, again
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
	// batchCount and batchSize (bytes) bound one append request.
	batchCount = 1024
	batchSize  = 1 << 20
	// firstElection divides the election time of a replica that has heard no leader since its start.
	firstElection = 3
	// defaultChunk is the size of a snapshot chunk in bytes; it stays below gRPC's message limit of 4 MiB.
	defaultChunk = 1 << 20
)

// ErrNotLeader is returned for operations that only the leader can do; nothing was recorded.
var ErrNotLeader = errors.New("this replica is not the leader")

// Config holds the constants of a replica.
type Config struct {
	Host string
	// Election is the least time without a leader before an election; the time drawn is at most twice that.
	Election time.Duration
	// Heartbeat is the time between two messages of the leader.
	Heartbeat time.Duration
	// Keep is the number of records kept behind a snapshot for slow followers.
	Keep uint64
	// Chunk is the size of a snapshot chunk in bytes; zero means 1 MiB.
	Chunk int
	// Voters is the number of voters above which no learner gets a vote; zero means the most members.
	Voters int
	// Absence is the time out of contact after which the leader removes a voter, as long as Least voters remain.
	// Zero keeps every voter.
	Absence time.Duration
	Least   int
	// Seed of the election times.
	Seed uint64
	// Violation is told of broken invariants; without it they panic.
	Violation Violation
}

// Durable is what a replica finds on its disk.
type Durable struct {
	State    *statev1.HardState
	Snapshot *statev1.Snapshot // nil without a snapshot
	Records  []*statev1.Record // the records after the snapshot
	// Commit is the highest index that is known to be committed; it may lie before the end of the records.
	Commit uint64
}

// Ready is the work that a step left for the runtime. It must send Early, persist State, Snapshot and
// Records in this order, call Persisted, send Messages, and then restore or apply.
type Ready struct {
	// Early may be sent before the rest is durable.
	Early []Message
	// State is the hard state to persist, or nil.
	State *statev1.HardState
	// Snapshot replaces log and state machine, or is nil.
	Snapshot *statev1.Snapshot
	// Records are to be appended; they replace existing records with the same and higher indexes.
	Records []*statev1.Record
	// Commit is the index up to which the log is known to be committed.
	Commit uint64
	// Messages may be sent only when the rest is durable.
	Messages []Message
	// Committed records are to be applied in order.
	Committed []*statev1.Record
	// Reads are linearizable once the state machine has applied their index.
	Reads []Read
}

// Read is a confirmed read.
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

	state      *statev1.HardState
	stateDirty bool
	log        log
	snapshot   *statev1.Snapshot
	// configurations are the member sets of the log, the newest in force; the first is committed.
	configurations []configuration
	commit         uint64
	applied        uint64 // handed out as committed
	handed         uint64 // handed out to be persisted
	persisted      uint64
	newest         time.Time // time of the newest command

	role       Role
	leader     string
	heard      time.Time // when a leader was last heard
	electionAt time.Time
	votes      map[string]bool

	progress  map[string]*progress
	termStart uint64 // index of the leader's first record of its term
	beatAt    time.Time
	successor string
	abortAt   time.Time

	round   uint64
	reads   []pendingRead
	install *reception

	early    []Message
	messages []Message
	confirm  []Read
	received *statev1.Snapshot
}

// New returns a replica that continues from what is durable.
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
	r.newest = d.Snapshot.GetTime().AsTime()
	r.commit, r.applied = r.log.base, r.log.base
	for _, record := range d.Records {
		r.add(record)
	}
	r.handed, r.persisted = r.log.last(), r.log.last()
	r.commit = max(r.commit, min(d.Commit, r.log.last()))
	r.resetElection(now)
	if r.voter() && r.quorum(func(host string) bool { return host == c.Host }) {
		r.electionAt = now // The only voter has no other leader to wait for.
	}
	return r
}

// add appends a record and takes its members into force, as section 4.1 of the dissertation demands.
func (r *Replicator) add(record *statev1.Record) {
	r.log.records = append(r.log.records, record)
	if m := record.GetCommand().GetMembers(); m != nil {
		r.configurations = append(r.configurations, configuration{index: record.GetIndex(), members: m})
	}
	if t := record.GetCommand().GetTime().AsTime(); t.After(r.newest) {
		r.newest = t
	}
}

// Tick lets time pass.
func (r *Replicator) Tick(now time.Time) {
	if r.role == Leader {
		r.lead(now)
		return
	}
	if !now.Before(r.electionAt) {
		r.resetElection(now)
		if r.electable() {
			r.campaign(now, true, false)
		}
	}
}

// Step takes a message from another replica.
func (r *Replicator) Step(now time.Time, m Message) {
	if m.To != r.config.Host {
		return
	}
	if m.Target != r.state.GetIncarnation() {
		r.refuseTarget(m)
		return
	}
	if p := r.progress[m.From]; p != nil && !m.request() && p.incarnation != m.Incarnation {
		r.stranger(now, m)
		return
	}
	if m.Term > r.state.GetTerm() && !r.adopt(now, m) {
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
		r.vote(now, m)
	case VoteResponse:
		r.countVote(now, m)
	case AppendRequest:
		r.accept(now, m)
	case AppendResponse:
		r.acknowledge(now, m)
	case InstallRequest:
		r.receive(now, m)
	case InstallResponse:
		r.installed(now, m)
	case HandOver:
		if r.voter() && r.role != Leader {
			r.campaign(now, false, true)
		}
	}
}

// refuseTarget answers a message for another incarnation of this host, so that the leader learns the present one.
func (r *Replicator) refuseTarget(m Message) {
	if !m.request() {
		return
	}
	if m.Target > r.state.GetIncarnation() && r.Blank() {
		// An earlier data folder of this host had a later clock. Incarnations must grow, or the leader
		// would take this one for the older.
		r.state.Incarnation = m.Target + 1
		r.stateDirty = true
	}
	r.send(r.reply(m))
}

// adopt takes over a higher term; it returns false when the message is to be ignored or only answered.
func (r *Replicator) adopt(now time.Time, m Message) bool {
	switch m.Kind {
	case VoteRequest:
		if r.led(now) && !m.Forced {
			// A leader is in contact: a host that cannot hear it must not depose it (section 4.2.3).
			r.send(r.reply(m))
			return false
		}
		if m.Pre {
			r.handle(now, m)
			return false
		}
	case VoteResponse:
		if m.Pre && m.Granted {
			r.countVote(now, m)
			return false
		}
	}
	r.follow(now, m.Term, "")
	return true
}

// led reports whether a leader was heard within the least election time.
func (r *Replicator) led(now time.Time) bool {
	return r.role == Leader || r.leader != "" && now.Sub(r.heard) < r.config.Election
}

// follow becomes a follower in a term.
func (r *Replicator) follow(now time.Time, term uint64, leader string) {
	if term > r.state.GetTerm() {
		r.state.Term, r.state.Vote = term, ""
		r.stateDirty = true
		r.leader = ""
	}
	if r.role == Leader {
		r.leader = ""
	}
	if leader != "" {
		r.leader, r.heard = leader, now
	}
	r.role, r.progress, r.reads, r.successor, r.votes = Follower, nil, nil, "", nil
	r.resetElection(now)
}

// resetElection draws the time of the next election. A replica that has heard no leader since its start waits for a
// part of the election time only: after the loss of all hosts there is no leader to be disturbed, and one that exists
// is protected by the pre-vote.
func (r *Replicator) resetElection(now time.Time) {
	least := r.config.Election
	if r.heard.IsZero() {
		least /= firstElection
	}
	r.electionAt = now.Add(least + time.Duration(r.random.Int64N(int64(least))))
}

// send queues a message until the state is durable.
func (r *Replicator) send(m Message) {
	r.messages = append(r.messages, m)
}

// Propose appends commands to the leader's log and returns the index of the first. Their time never goes back.
func (r *Replicator) Propose(now time.Time, commands ...*statev1.Command) (index, term uint64, err error) {
	if r.role != Leader || r.successor != "" {
		return 0, 0, ErrNotLeader
	}
	index = r.log.last() + 1
	for _, c := range commands {
		r.record(now, c)
	}
	r.replicate(now)
	return index, r.state.GetTerm(), nil
}

// record appends one command under the leader's term.
func (r *Replicator) record(now time.Time, c *statev1.Command) {
	if now.After(r.newest) {
		r.newest = now
	}
	c = proto.Clone(c).(*statev1.Command)
	c.Time = timestamppb.New(r.newest)
	r.add(&statev1.Record{Index: r.log.last() + 1, Term: r.state.GetTerm(), Command: c})
}

// Ready returns the work that is to be done, and false when there is none.
func (r *Replicator) Ready() (Ready, bool) {
	out := Ready{Early: r.early, Messages: r.messages, Snapshot: r.received, Reads: r.confirm, Commit: r.commit}
	if r.stateDirty {
		out.State = proto.Clone(r.state).(*statev1.HardState)
		// The early messages speak for a term that is not durable yet.
		out.Early, out.Messages = nil, append(out.Early, out.Messages...)
	}
	if last := r.log.last(); r.handed < last {
		out.Records = r.log.records[r.handed-r.log.base:]
		out.Records = out.Records[:len(out.Records):len(out.Records)]
		r.handed = last
	}
	if r.applied < r.commit {
		out.Committed = r.log.from(r.applied+1, int(r.commit-r.applied), batchSize) //nolint:gosec // Log sizes fit an int.
		r.applied += uint64(len(out.Committed))
	}
	r.early, r.messages, r.received, r.confirm, r.stateDirty = nil, nil, nil, nil, false
	some := len(out.Early)+len(out.Messages)+len(out.Records)+len(out.Committed)+len(out.Reads) > 0
	return out, some || out.State != nil || out.Snapshot != nil
}

// Persisted says that everything handed out by Ready is durable.
func (r *Replicator) Persisted(now time.Time) {
	r.persisted = r.handed
	if r.role == Leader {
		r.advance(now)
	}
}

// Compact takes a snapshot of the state machine after an applied index and drops older records.
func (r *Replicator) Compact(index uint64, state []byte) *statev1.Snapshot {
	term, ok := r.log.term(index)
	if !ok || !r.invariant(index <= r.applied, "snapshot at %d beyond the applied index %d", index, r.applied) {
		return nil
	}
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
	r.snapshot = &statev1.Snapshot{
		Index: index, Term: term, Members: r.configurations[0].members, Time: timestamppb.New(r.newest), State: state,
	}
	if index > r.config.Keep {
		r.log.compact(max(r.log.base, index-r.config.Keep))
	}
	return r.snapshot
}
