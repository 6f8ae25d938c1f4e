package planner

import "time"

// rerun starts the whole query again on a newer complete snapshot when the pinned one is gone and at least half of
// the time is left. It reports whether it did. Calls of a request with a key are never repeated.
func (p *Planner) rerun(now time.Time) bool {
	if !p.mayRerun(now) {
		return false
	}
	newer, _ := p.world.Pin(p.snapshot.Number, now)
	if newer == nil || newer.Number <= p.snapshot.Number || !newer.Complete() {
		return false
	}
	for i := range p.shards {
		p.cancel(uint32(i))
	}
	p.run(newer, now)
	return true
}

// mayRerun reports whether the query may still be started again.
func (p *Planner) mayRerun(now time.Time) bool {
	left := p.query.Deadline.Sub(now)
	return !p.query.Keyed && !p.crashed && 2*left >= p.query.Deadline.Sub(p.query.Received)
}
