package planner

import "time"

// canary sends the first shard that has no answer yet alone; the other shards wait for its reply.
func (p *Planner) canary(now time.Time) {
	p.waiting = true
	for i := range p.shards {
		if p.primary(uint32(i), now) {
			p.world.Primary(1)
			return
		}
	}
	p.waiting = false
}

// suspect reports a request that was in flight on a server that crashed. The shard is not tried again, and a canary
// that crashed a server ends the query.
func (p *Planner) suspect(n int, r Result) {
	p.crashed = true
	p.hedges = p.hedges[:0]
	p.reporting++
	p.actions = append(p.actions, Action{Kind: Suspect, Call: p.attempts[n].call})
	p.settle(r.Shard, reasonCrashed)
	if !p.waiting {
		return
	}
	p.waiting = false
	for i := range p.shards {
		p.settle(uint32(i), reasonCrashed)
	}
}
