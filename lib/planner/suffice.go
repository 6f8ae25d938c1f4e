package planner

import "time"

// hopeless reports whether the shards that are missing for good are too many for an answer.
func (p *Planner) hopeless() bool {
	return !p.query.Keyed && p.left > 0 && float64(len(p.shards)-p.missing) < p.query.Least*float64(len(p.shards))
}

// sufficeAt returns when the parts that are in suffice for an answer, as far as they reach the least coverage.
//
// A late answer has a small part of the worth of a timely one, while a missing part costs about twice its share of
// the answer. So at the target an answer with enough parts is given as it is. Once the target is missed, waiting costs
// little, and the missing parts get the same time again.
func (p *Planner) sufficeAt() time.Time {
	q := &p.query
	if q.Target.IsZero() || q.Keyed {
		return time.Time{}
	}
	if p.late {
		return q.Target.Add(q.Target.Sub(q.Received))
	}
	return q.Target
}

// suffice ends the wait for the parts that are missing when the others are enough.
func (p *Planner) suffice(now time.Time) {
	at := p.sufficeAt()
	if p.closed || p.left == 0 || at.IsZero() || now.Before(at) {
		return
	}
	answered := 0
	for i := range p.shards {
		if p.shards[i].answered {
			answered++
		}
	}
	if answered > 0 && float64(answered) >= p.query.Least*float64(len(p.shards)) {
		p.giveUp(reasonDeadline)
		return
	}
	p.late = true
}
