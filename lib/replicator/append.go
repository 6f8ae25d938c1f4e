package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// progress is what the leader knows of another member.
type progress struct {
	incarnation uint64
	match, next uint64
	contact     time.Time // of the last answer
	round       uint64    // newest read round answered

	waiting           bool // a batch or chunk is in transit
	previous, pending uint64
	sentAt            time.Time

	// stranger is a later incarnation that answered in this one's place.
	stranger uint64
	// A learner has caught up when it gets from one target to the next within an election time.
	target   uint64
	targetAt time.Time
	caught   bool

	sending  []byte // snapshot in transit
	snapshot *statev1.Snapshot
	offset   uint64
}

func emptyCommand() *statev1.Command {
	return &statev1.Command{}
}

// lead is the leader's tick.
func (r *Replicator) lead(now time.Time) {
	heard := r.quorum(func(host string) bool {
		p := r.progress[host]
		return host == r.config.Host || p != nil && now.Sub(p.contact) < r.config.Election
	})
	if !heard {
		// Check-quorum: without a majority in reach, another leader may exist.
		r.follow(now, r.state.GetTerm(), "")
		return
	}
	r.heard = now
	if r.successor != "" && !now.Before(r.abortAt) {
		r.successor = ""
	}
	if now.Sub(r.beatAt) >= r.config.Heartbeat {
		r.beat(now)
	}
	r.replicate(now)
	r.maintain(now)
}

// peers calls f for every other member in the order of the member list.
func (r *Replicator) peers(f func(host string, p *progress)) {
	for _, m := range r.members().GetReplicas() {
		if p := r.progress[m.GetHost()]; p != nil {
			f(m.GetHost(), p)
		}
	}
}

// beat sends an empty append to every member, at an index that is known to agree.
func (r *Replicator) beat(now time.Time) {
	r.beatAt = now
	r.peers(func(host string, p *progress) { r.heartbeat(host, p) })
}

func (r *Replicator) heartbeat(host string, p *progress) {
	m := r.appendRequest(host, p)
	if tail, ok := r.log.term(p.match); ok {
		m.Previous, m.Tail = p.match, tail
	}
	r.early = append(r.early, m)
}

func (r *Replicator) appendRequest(host string, p *progress) Message {
	return Message{
		Kind: AppendRequest, From: r.config.Host, To: host, Incarnation: r.state.GetIncarnation(), Target: p.incarnation,
		Term: r.state.GetTerm(), Commit: r.commit, Round: r.round,
	}
}

// replicate sends what members lack; one batch to a member is in transit at a time, and what is proposed
// meanwhile makes the next batch.
func (r *Replicator) replicate(now time.Time) {
	r.peers(func(host string, p *progress) { r.pump(now, host, p) })
	if r.role == Leader {
		r.advance(now)
	}
}

func (r *Replicator) pump(now time.Time, host string, p *progress) {
	if p.waiting && now.Sub(p.sentAt) < r.config.Election {
		return
	}
	if p.sending != nil || p.next <= r.log.base {
		r.chunk(now, host, p)
		return
	}
	records := r.log.from(p.next, batchCount, batchSize)
	if len(records) == 0 {
		return
	}
	m := r.appendRequest(host, p)
	m.Previous, m.Records = p.next-1, records
	m.Tail, _ = r.log.term(m.Previous)
	p.waiting, p.sentAt = true, now
	p.previous, p.pending = m.Previous, records[len(records)-1].GetIndex()
	r.early = append(r.early, m)
}

// accept takes records or a heartbeat from the leader.
func (r *Replicator) accept(now time.Time, m Message) {
	if !r.invariant(r.role != Leader && (r.leader == "" || r.leader == m.From), "%s and %s both lead", r.leader, m.From) {
		return
	}
	r.follow(now, m.Term, m.From)
	out := r.reply(m)
	if m.Previous < r.commit && !r.skip(&m) {
		return
	}
	if tail, ok := r.log.term(m.Previous); !ok || tail != m.Tail {
		if r.invariant(m.Previous != r.commit, "committed record %d has term %d, the leader's has %d", m.Previous, tail, m.Tail) {
			out.Match = r.hint(m.Previous, tail)
			r.send(out)
		}
		return
	}
	for _, record := range m.Records {
		if !r.merge(record) {
			return
		}
	}
	out.Granted, out.Match = true, m.Previous+uint64(len(m.Records))
	r.commit = max(r.commit, min(m.Commit, out.Match))
	r.send(out)
}

// skip removes the committed records from an append: the leader has the same ones.
func (r *Replicator) skip(m *Message) bool {
	for len(m.Records) > 0 && m.Records[0].GetIndex() <= r.commit {
		record := m.Records[0]
		term, ok := r.log.term(record.GetIndex())
		if !r.invariant(!ok || term == record.GetTerm(), "committed record %d has term %d, the leader's has %d", record.GetIndex(), term, record.GetTerm()) {
			return false
		}
		m.Records = m.Records[1:]
	}
	m.Previous = r.commit
	m.Tail, _ = r.log.term(r.commit)
	return true
}

// hint returns the index that the leader should try as previous: the last one, or the one before the whole
// term that conflicts (Raft, section 5.3).
func (r *Replicator) hint(previous, term uint64) uint64 {
	if previous > r.log.last() {
		return r.log.last()
	}
	for previous > r.commit {
		if t, _ := r.log.term(previous); t != term {
			break
		}
		previous--
	}
	return previous
}

// merge adds one record of the leader and removes records that conflict with it.
func (r *Replicator) merge(record *statev1.Record) bool {
	index := record.GetIndex()
	if term, ok := r.log.term(index); ok {
		if term == record.GetTerm() {
			same := proto.Equal(r.log.records[index-r.log.base-1], record)
			return r.invariant(same, "record %d of term %d has two contents", index, term)
		}
		if !r.invariant(index > r.commit, "committed record %d of term %d would be replaced by one of term %d", index, term, record.GetTerm()) {
			return false
		}
		r.log.cut(index)
		r.handed, r.persisted = min(r.handed, index-1), min(r.persisted, index-1)
		r.configurations = slices.DeleteFunc(r.configurations, func(c configuration) bool { return c.index >= index })
	}
	r.add(record)
	return true
}

// known returns the progress of the sender of an answer, and false when the answer does not count.
func (r *Replicator) known(now time.Time, m Message) (*progress, bool) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil || p.incarnation != m.Incarnation {
		return nil, false
	}
	p.contact = now
	return p, true
}

// acknowledge takes the answer to an append.
func (r *Replicator) acknowledge(now time.Time, m Message) {
	p, ok := r.known(now, m)
	if !ok {
		return
	}
	p.round = max(p.round, m.Round)
	if m.Granted {
		if !r.invariant(m.Match <= r.log.last(), "%s acknowledged %d, but the log ends at %d", m.From, m.Match, r.log.last()) {
			return
		}
		p.reach(m.Match)
		p.measure(now, r.log.last(), r.config.Election)
	} else if p.waiting && m.Previous == p.previous {
		p.waiting = false
		p.next = max(p.match+1, min(m.Match+1, m.Previous))
	}
	r.confirmReads()
	if m.From == r.successor {
		r.yield(p)
	}
	r.replicate(now)
	r.maintain(now)
}

func (p *progress) reach(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	if p.match >= p.pending {
		p.waiting = false
	}
}

// measure decides whether a learner has caught up (dissertation, section 4.2.1).
func (p *progress) measure(now time.Time, last uint64, election time.Duration) {
	if p.match < p.target {
		return
	}
	p.caught = now.Sub(p.targetAt) < election
	p.target, p.targetAt = last, now
}

// advance commits what a majority has made durable. Only a record of the present term is counted
// (Raft, section 5.4.2).
func (r *Replicator) advance(now time.Time) {
	var matches []uint64
	for _, m := range r.members().GetReplicas() {
		if m.GetLearner() {
			continue
		}
		if m.GetHost() == r.config.Host {
			matches = append(matches, r.persisted)
		} else {
			matches = append(matches, r.progress[m.GetHost()].match)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, _ := r.log.term(index); index <= r.commit || term != r.state.GetTerm() {
		return
	}
	r.commit = index
	if !r.voter() && r.settled() {
		r.beat(now)
		r.follow(now, r.state.GetTerm(), "") // This host was removed.
		return
	}
	// Followers apply, and learn of a new version, without waiting for the next heartbeat.
	r.peers(func(host string, p *progress) {
		if !p.waiting {
			r.heartbeat(host, p)
		}
	})
}
