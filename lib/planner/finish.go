package planner

import callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"

// finish computes the coverage over the shards of the pinned snapshot and sends the reply.
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
		reply.Parts = append(reply.Parts, Part{Shard: n, Attempt: s.answeredBy, Body: s.body})
	}
	p.setOutcome(reply)
	p.checkReply(reply)
	p.sendReply(reply)
}

// setOutcome sets the reply's outcome and reason.
func (p *Planner) setOutcome(r *Reply) {
	if unknown, reason := p.outcomeUnknown(); unknown {
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_UNKNOWN, reason
		return
	}
	switch {
	case r.Answered == r.Total:
		r.Outcome = callerv1.Outcome_OUTCOME_WHOLE
	case r.Answered == 0 && !p.reached():
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_REFUSED, sharedReason(r.Missing)
	case r.Answered == 0:
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_FAILED, sharedReason(r.Missing)
	case float64(r.Answered) < p.query.MinCoverage*float64(r.Total):
		r.Outcome, r.Reason = callerv1.Outcome_OUTCOME_FAILED, reasonCoverage
	default:
		r.Outcome = callerv1.Outcome_OUTCOME_PARTIAL
	}
}

// outcomeUnknown reports whether the request has a key and one of its calls may have run without a known result. It
// also returns the reason for which that call failed.
func (p *Planner) outcomeUnknown() (bool, Reason) {
	if !p.query.NonIdempotent {
		return false, reasonNone
	}
	for i := range p.attempts {
		if p.attempts[i].uncertain {
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

// sharedReason returns the reason for the missing shards: a crash if there was one, else the reason that they all have
// in common, else insufficient coverage.
func sharedReason(missing []Missing) Reason {
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

// sendReply sends the query's only reply.
func (p *Planner) sendReply(r *Reply) {
	p.checkOneReply()
	p.replied = true
	p.actions = append(p.actions, Action{Kind: Finish, Reply: r})
}
