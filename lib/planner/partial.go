package planner

import "time"

// coverageUnreachable reports whether too many shards have failed for the minimum coverage to be reached.
func (p *Planner) coverageUnreachable() bool {
	return !p.query.NonIdempotent && p.unresolved > 0 && float64(len(p.shards)-p.missing) < p.query.MinCoverage*float64(len(p.shards))
}

// partialAt returns the time from which a partial answer is returned if it reaches the minimum coverage, or the zero
// time.
//
// A late answer has only a fraction of the value of a timely one, while a missing part costs about twice its share of
// the answer. So a partial answer with sufficient coverage is returned at the target. Once the target is missed,
// waiting costs little, and the missing parts get the same time again.
func (p *Planner) partialAt() time.Time {
	q := &p.query
	if q.Target.IsZero() || q.NonIdempotent {
		return time.Time{}
	}
	if p.targetMissed {
		return q.Target.Add(q.Target.Sub(q.Received))
	}
	return q.Target
}

// acceptPartial ends the wait for the remaining parts when it is time for a partial answer and the coverage is
// sufficient.
func (p *Planner) acceptPartial(now time.Time) {
	at := p.partialAt()
	if p.replied || p.unresolved == 0 || at.IsZero() || now.Before(at) {
		return
	}
	answered := 0
	for i := range p.shards {
		if p.shards[i].answered {
			answered++
		}
	}
	if answered > 0 && float64(answered) >= p.query.MinCoverage*float64(len(p.shards)) {
		p.abort(reasonDeadline)
		return
	}
	p.targetMissed = true
}
