package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// progress is the leader's view of another member's log.
type progress struct {
	incarnation uint64
	match, next uint64
	contact     time.Time // of the last response
	round       uint64    // newest read round acknowledged
	announced   uint64    // highest index of which a request has told the member that it is committed

	inFlight          bool // a batch or chunk is in flight
	previous, pending uint64
	sentAt            time.Time

	// newIncarnation is a newer incarnation of the host, which has responded instead of the member's incarnation.
	newIncarnation uint64
	// A learner has caught up when it replicates up to target within one election timeout.
	target   uint64
	targetAt time.Time
	caughtUp bool

	encoded  []byte // encoded snapshot that is being sent
	snapshot *statev1.Snapshot
	offset   uint64
}

func emptyCommand() *statev1.Command {
	return &statev1.Command{}
}

// tickLeader runs the periodic work of a leader.
func (r *Replicator) tickLeader(now time.Time) {
	reachable := r.quorum(func(host string) bool {
		p := r.progress[host]
		return host == r.config.Host || p != nil && now.Sub(p.contact) < r.config.Election
	})
	if !reachable {
		// Check-quorum: a leader that cannot reach a majority steps down, because another leader may exist.
		r.becomeFollower(now, r.state.GetTerm(), "")
		return
	}
	r.lastLeaderContact = now
	if r.successor != "" && !now.Before(r.handOverDeadline) {
		r.successor = ""
	}
	if now.Sub(r.heartbeatAt) >= r.config.Heartbeat {
		r.broadcastHeartbeat(now)
	}
	r.replicate(now)
	r.maintainMembers(now)
}

// eachPeer calls f for every other member, in the order of the member list.
func (r *Replicator) eachPeer(f func(host string, p *progress)) {
	for _, m := range r.members().GetReplicas() {
		if p := r.progress[m.GetHost()]; p != nil {
			f(m.GetHost(), p)
		}
	}
}

// broadcastHeartbeat sends every other member an empty append request at its match index.
func (r *Replicator) broadcastHeartbeat(now time.Time) {
	r.heartbeatAt = now
	r.startRound(now)
	r.eachPeer(func(host string, p *progress) { r.heartbeat(host, p) })
}

func (r *Replicator) heartbeat(host string, p *progress) {
	m := r.appendRequest(host, p)
	if previousTerm, ok := r.log.term(p.match); ok {
		m.Previous, m.PreviousTerm = p.match, previousTerm
	}
	r.early = append(r.early, m)
}

// announceCommit tells a member which of the records that were sent to it are committed, so that it applies them without
// waiting for the next heartbeat. A member that has not received the records yet rejects the request.
func (r *Replicator) announceCommit(host string, p *progress) {
	if p.encoded != nil {
		return // The member is being sent a snapshot.
	}
	sent := p.match
	if p.inFlight {
		sent = p.pending
	}
	index := min(r.commit, sent)
	previousTerm, ok := r.log.term(index)
	if p.announced >= index || !ok {
		return
	}
	p.announced = index
	m := r.appendRequest(host, p)
	m.Previous, m.PreviousTerm = index, previousTerm
	r.early = append(r.early, m)
}

func (r *Replicator) appendRequest(host string, p *progress) Message {
	return Message{
		Kind: AppendRequest, From: r.config.Host, To: host, Incarnation: r.state.GetIncarnation(), Target: p.incarnation,
		Term: r.state.GetTerm(), Commit: r.commit, Round: r.round,
	}
}

// replicate sends missing records to the other members. Each member has at most one batch in flight; records
// proposed in the meantime go into the next batch.
func (r *Replicator) replicate(now time.Time) {
	r.eachPeer(func(host string, p *progress) { r.sendRecords(now, host, p) })
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

func (r *Replicator) sendRecords(now time.Time, host string, p *progress) {
	if p.inFlight && now.Sub(p.sentAt) < r.config.Election {
		return
	}
	if p.encoded != nil || p.next <= r.log.base {
		r.sendChunk(now, host, p)
		return
	}
	records := r.log.recordsFrom(p.next, batchCount, batchSize)
	if len(records) == 0 {
		return
	}
	m := r.appendRequest(host, p)
	m.Previous, m.Records = p.next-1, records
	m.PreviousTerm, _ = r.log.term(m.Previous)
	p.inFlight, p.sentAt = true, now
	p.previous, p.pending = m.Previous, records[len(records)-1].GetIndex()
	p.announced = min(r.commit, p.pending)
	r.early = append(r.early, m)
}

// handleAppendRequest handles an append request or heartbeat from the leader.
func (r *Replicator) handleAppendRequest(now time.Time, m Message) {
	if !r.invariant(r.role != Leader && (r.leader == "" || r.leader == m.From), "%s and %s both lead", r.leader, m.From) {
		return
	}
	r.becomeFollower(now, m.Term, m.From)
	out := r.reply(m)
	if m.Previous < r.commit && !r.skipCommitted(&m) {
		return
	}
	if previousTerm, ok := r.log.term(m.Previous); !ok || previousTerm != m.PreviousTerm {
		if r.invariant(m.Previous != r.commit, "committed record %d has term %d, the leader's has %d", m.Previous, previousTerm, m.PreviousTerm) {
			out.Match = r.conflictHint(m.Previous, previousTerm)
			r.send(out)
		}
		return
	}
	for _, record := range m.Records {
		if !r.mergeRecord(record) {
			return
		}
	}
	out.Granted, out.Match = true, m.Previous+uint64(len(m.Records))
	r.commit = max(r.commit, min(m.Commit, out.Match))
	r.send(out)
}

// skipCommitted removes committed records from an append request, as the leader's log contains the same ones.
func (r *Replicator) skipCommitted(m *Message) bool {
	for len(m.Records) > 0 && m.Records[0].GetIndex() <= r.commit {
		record := m.Records[0]
		term, ok := r.log.term(record.GetIndex())
		if !r.invariant(!ok || term == record.GetTerm(), "committed record %d has term %d, the leader's has %d", record.GetIndex(), term, record.GetTerm()) {
			return false
		}
		m.Records = m.Records[1:]
	}
	m.Previous = r.commit
	m.PreviousTerm, _ = r.log.term(r.commit)
	return true
}

// conflictHint returns the index that the leader should try next as Previous: the end of this log, or the record before
// all records of the conflicting term (Raft, section 5.3).
func (r *Replicator) conflictHint(previous, term uint64) uint64 {
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

// mergeRecord appends one of the leader's records and removes the records that conflict with it.
func (r *Replicator) mergeRecord(record *statev1.Record) bool {
	index := record.GetIndex()
	if term, ok := r.log.term(index); ok {
		if term == record.GetTerm() {
			same := proto.Equal(r.log.records[index-r.log.base-1], record)
			return r.invariant(same, "record %d of term %d has two different contents", index, term)
		}
		if !r.invariant(index > r.commit, "committed record %d of term %d would be replaced by one of term %d", index, term, record.GetTerm()) {
			return false
		}
		r.log.truncateFrom(index)
		r.emitted, r.persisted = min(r.emitted, index-1), min(r.persisted, index-1)
		r.configurations = slices.DeleteFunc(r.configurations, func(c configuration) bool { return c.index >= index })
	}
	r.appendRecord(record)
	return true
}

// responder returns the progress of the member that sent a response, and records the contact. It returns false when the
// response must be ignored.
func (r *Replicator) responder(now time.Time, m Message) (*progress, bool) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil || p.incarnation != m.Incarnation {
		return nil, false
	}
	p.contact = now
	return p, true
}

// handleAppendResponse handles the response to an append request.
func (r *Replicator) handleAppendResponse(now time.Time, m Message) {
	p, ok := r.responder(now, m)
	if !ok {
		return
	}
	p.round = max(p.round, m.Round)
	if m.Granted {
		if !r.invariant(m.Match <= r.log.last(), "%s acknowledged %d, but the log ends at %d", m.From, m.Match, r.log.last()) {
			return
		}
		p.raiseMatch(m.Match)
		p.updateCaughtUp(now, r.log.last(), r.config.Election)
	} else {
		p.reject(m)
	}
	r.confirmReads()
	r.confirmRounds()
	if m.From == r.successor {
		r.sendHandOver(p)
	}
	r.replicate(now)
	if r.role == Leader && (m.Granted || !p.inFlight) {
		r.announceCommit(m.From, p)
	}
	r.maintainMembers(now)
}

// reject handles a rejection: of records, which are sent again from an earlier index, or of the announcement of a commit
// that has overtaken its records.
func (p *progress) reject(m Message) {
	p.announced = 0
	if p.inFlight && m.Previous == p.previous {
		p.inFlight = false
		p.next = max(p.match+1, min(m.Match+1, m.Previous))
	}
}

func (p *progress) raiseMatch(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	if p.match >= p.pending {
		p.inFlight = false
	}
}

// updateCaughtUp determines whether a learner has caught up (dissertation, section 4.2.1).
func (p *progress) updateCaughtUp(now time.Time, last uint64, election time.Duration) {
	if p.match < p.target {
		return
	}
	p.caughtUp = now.Sub(p.targetAt) < election
	p.target, p.targetAt = last, now
}

// advanceCommit raises the commit index to the highest record that a majority has persisted. Only records of the
// current term are counted (Raft, section 5.4.2).
func (r *Replicator) advanceCommit(now time.Time) {
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
	if !r.voter() && r.membersCommitted() {
		r.broadcastHeartbeat(now)
		r.becomeFollower(now, r.state.GetTerm(), "") // This host was removed.
		return
	}
	r.eachPeer(r.announceCommit)
}
