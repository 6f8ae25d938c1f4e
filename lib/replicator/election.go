package replicator

import "time"

// campaign asks the voters for a pre-vote or a vote. A forced campaign was asked for by the leader.
func (r *Replicator) campaign(now time.Time, pre, forced bool) {
	r.resetElection(now)
	r.leader = ""
	r.role = PreCandidate
	term := r.state.GetTerm() + 1
	if !pre {
		r.role = Candidate
		r.state.Term, r.state.Vote = term, r.config.Host
		r.stateDirty = true
	}
	r.votes = map[string]bool{r.config.Host: true}
	if r.elected() {
		r.win(now)
		return
	}
	for _, m := range r.members().GetReplicas() {
		if m.GetLearner() || m.GetHost() == r.config.Host {
			continue
		}
		r.send(Message{
			Kind: VoteRequest, From: r.config.Host, To: m.GetHost(), Incarnation: r.state.GetIncarnation(), Target: m.GetIncarnation(),
			Term: term, Previous: r.log.last(), Tail: r.log.lastTerm(), Pre: pre, Forced: forced,
		})
	}
}

func (r *Replicator) elected() bool {
	return r.quorum(func(host string) bool { return r.votes[host] })
}

// vote answers a vote request of the present term, or a pre-vote of a later one.
func (r *Replicator) vote(now time.Time, m Message) {
	out := r.reply(m)
	term := r.log.lastTerm()
	fresh := m.Tail > term || m.Tail == term && m.Previous >= r.log.last()
	if m.Pre {
		if fresh && m.Term > r.state.GetTerm() && !r.led(now) {
			out.Granted, out.Term = true, m.Term
		}
		r.send(out)
		return
	}
	free := r.state.GetVote() == m.From || r.state.GetVote() == "" && r.leader == ""
	if free && fresh {
		r.state.Vote = m.From
		r.stateDirty = true
		r.resetElection(now)
		out.Granted = true
	}
	r.send(out)
}

// countVote takes the answer of a voter.
func (r *Replicator) countVote(now time.Time, m Message) {
	wanted, term := Candidate, r.state.GetTerm()
	if m.Pre {
		wanted, term = PreCandidate, r.state.GetTerm()+1
	}
	member := r.member(m.From)
	if r.role != wanted || m.Granted && m.Term != term || member.GetIncarnation() != m.Incarnation || member.GetLearner() {
		return
	}
	r.votes[m.From] = m.Granted
	if r.elected() {
		r.win(now)
	}
}

// win goes on from a won pre-vote to the vote, and from a won vote to leadership.
func (r *Replicator) win(now time.Time) {
	if r.role == PreCandidate {
		r.campaign(now, false, false)
		return
	}
	r.role, r.leader, r.votes = Leader, r.config.Host, nil
	r.progress, r.reads, r.successor = make(map[string]*progress), nil, ""
	r.beatAt = now
	r.track(now, r.log.last()+1)
	r.record(now, emptyCommand())
	r.termStart = r.log.last()
	r.replicate(now)
}

// HandOver passes leadership to the voter that has most of the log. Nothing can be proposed meanwhile; after
// one election time without success the leader goes on.
func (r *Replicator) HandOver(now time.Time) {
	if r.role != Leader {
		return
	}
	var best *progress
	for _, m := range r.members().GetReplicas() {
		p := r.progress[m.GetHost()]
		if p == nil || m.GetLearner() || now.Sub(p.contact) >= r.config.Election {
			continue
		}
		if best == nil || p.match > best.match {
			best, r.successor = p, m.GetHost()
		}
	}
	if best == nil {
		return
	}
	r.abortAt = now.Add(r.config.Election)
	r.yield(best)
	r.replicate(now)
}

// yield tells the successor to start an election once it has the whole log.
func (r *Replicator) yield(p *progress) {
	if p.match < r.log.last() {
		return
	}
	r.send(Message{
		Kind: HandOver, From: r.config.Host, To: r.successor, Incarnation: r.state.GetIncarnation(), Target: p.incarnation,
		Term: r.state.GetTerm(),
	})
}
