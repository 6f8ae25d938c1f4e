package replicator

import "time"

// campaign requests pre-votes or votes from the other voters. A forced campaign is one that the leader requested to
// hand over leadership.
func (r *Replicator) campaign(now time.Time, pre, forced bool) {
	if !pre {
		r.elections++
	}
	r.resetElection(now)
	r.leader = ""
	r.role = PreCandidate
	term := r.state.GetTerm() + 1
	if !pre {
		r.role = Candidate
		r.state.Term, r.state.Vote = term, r.config.Host
		r.stateChanged = true
	}
	r.votes = map[string]bool{r.config.Host: true}
	if r.elected() {
		r.advanceElection(now)
		return
	}
	for _, m := range r.members().GetReplicas() {
		if m.GetLearner() || m.GetHost() == r.config.Host {
			continue
		}
		r.send(Message{
			Kind: VoteRequest, From: r.config.Host, To: m.GetHost(), Incarnation: r.state.GetIncarnation(), Target: m.GetIncarnation(),
			Term: term, Previous: r.log.last(), PreviousTerm: r.log.lastTerm(), Pre: pre, Forced: forced,
		})
	}
}

func (r *Replicator) elected() bool {
	return r.quorum(func(host string) bool { return r.votes[host] })
}

// handleVoteRequest handles a vote request for the current term, or a pre-vote request for a later term.
func (r *Replicator) handleVoteRequest(now time.Time, m Message) {
	out := r.reply(m)
	term := r.log.lastTerm()
	fresh := m.PreviousTerm > term || m.PreviousTerm == term && m.Previous >= r.log.last()
	if m.Pre {
		if fresh && m.Term > r.state.GetTerm() && !r.hasLeaderContact(now) {
			out.Granted, out.Term = true, m.Term
		}
		r.send(out)
		return
	}
	free := r.state.GetVote() == m.From || r.state.GetVote() == "" && r.leader == ""
	if free && fresh {
		r.state.Vote = m.From
		r.stateChanged = true
		r.resetElection(now)
		out.Granted = true
	}
	r.send(out)
}

// handleVoteResponse handles the response to a vote request.
func (r *Replicator) handleVoteResponse(now time.Time, m Message) {
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
		r.advanceElection(now)
	}
}

// advanceElection starts the election after a won pre-vote, or becomes leader after a won election.
func (r *Replicator) advanceElection(now time.Time) {
	if r.role == PreCandidate {
		r.campaign(now, false, false)
		return
	}
	r.role, r.leader, r.votes = Leader, r.config.Host, nil
	r.progress, r.reads, r.successor = make(map[string]*progress), nil, ""
	r.rounds, r.majorityAt, r.handedOver = nil, time.Time{}, false
	r.heartbeatAt = now
	r.updateProgress(now, r.log.last()+1)
	r.appendCommand(now, emptyCommand())
	r.termStart = r.log.last()
	r.replicate(now)
}

// HandOver transfers leadership to the reachable voter with the most complete log. Proposals are rejected during the
// transfer. If it does not succeed within one election timeout, this replica continues as leader.
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
	r.handOverDeadline = now.Add(r.config.Election)
	// The successor's election does not wait until the voters miss this leader, also if its order to start arrives late.
	r.handedOver = true
	r.sendHandOver(best)
	r.replicate(now)
}

// sendHandOver requests the successor to start an election once its log is complete.
func (r *Replicator) sendHandOver(p *progress) {
	if p.match < r.log.last() {
		return
	}
	r.send(Message{
		Kind: HandOver, From: r.config.Host, To: r.successor, Incarnation: r.state.GetIncarnation(), Target: p.incarnation,
		Term: r.state.GetTerm(),
	})
}
