package planner

import "time"

// rerun restarts the query on a newer complete snapshot when the leaves no longer hold the pinned one and at least half
// of the query's time remains. It reports whether it did. Calls of a non-idempotent request are never repeated.
func (p *Planner) rerun(now time.Time) bool {
	if !p.mayRerun(now) {
		return false
	}
	newer, _ := p.env.Pin(p.snapshot.Number, now)
	if newer == nil || newer.Number <= p.snapshot.Number || !newer.Complete() {
		return false
	}
	for i := range p.shards {
		p.cancel(uint32(i))
	}
	p.run(newer, now)
	return true
}

// mayRerun reports whether the query may still be restarted.
func (p *Planner) mayRerun(now time.Time) bool {
	remaining := p.query.Deadline.Sub(now)
	return !p.query.NonIdempotent && !p.crashed && 2*remaining >= p.query.Deadline.Sub(p.query.Received)
}
