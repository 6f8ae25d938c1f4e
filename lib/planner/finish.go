package planner

import callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"

// finish counts the coverage over the shards of the pinned snapshot and gives the reply.
func (p *Planner) finish() {
	reply := &Reply{Snapshot: p.snapshot.Number, Total: p.snapshot.Shards}
	for i := range p.shards {
		s := &p.shards[i]
		n := uint32(i)
		if !s.answered {
			reply.Missing = append(reply.Missing, Missing{Shard: n, Reason: s.reason})
			continue
		}
		if reply.Parts == nil {
			reply.Parts = make([]Part, 0, len(p.shards))
		}
		reply.Answered++
		reply.Parts = append(reply.Parts, Part{Shard: n, Attempt: s.winner, Body: s.body})
	}
	p.judge(reply)
	p.checkReply(reply)
	p.close(reply)
}

// judge sets the outcome.
func (p *Planner) judge(r *Reply) {
	if lost, reason := p.lost(); lost {
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_UNKNOWN, reason
		return
	}
	switch {
	case r.Answered == r.Total:
		r.Outcome = callerv1.Outcome_OUTCOME_WHOLE
	case r.Answered == 0 && !p.reached():
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_REFUSED, cause(r.Missing)
	case r.Answered == 0:
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_FAILED, cause(r.Missing)
	case float64(r.Answered) < p.query.Least*float64(r.Total):
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_FAILED, reasonCoverage
	default:
		r.Outcome = callerv1.Outcome_OUTCOME_PARTIAL
	}
}

// lost reports whether a call of a request with a key may have run without its result being known.
func (p *Planner) lost() (bool, Reason) {
	if !p.query.Keyed {
		return false, reasonNone
	}
	for i := range p.attempts {
		if p.attempts[i].lost {
			return true, p.attempts[i].reason
		}
	}
	return false, reasonNone
}

// reached reports whether a leaf may have received any call of the query.
func (p *Planner) reached() bool {
	for i := range p.attempts {
		if p.attempts[i].reached {
			return true
		}
	}
	return false
}

// cause returns the reason that all missing shards share, a crash if there was one, else the lack of coverage.
func cause(missing []Missing) Reason {
	out := missing[0].Reason
	for _, m := range missing {
		if m.Reason == reasonCrashed {
			return reasonCrashed
		}
		if m.Reason != out {
			out = reasonCoverage
		}
	}
	return out
}

// close gives the one reply.
func (p *Planner) close(r *Reply) {
	p.checkOnce()
	p.closed = true
	p.actions = append(p.actions, Action{Kind: Finish, Reply: r})
}
