package planner

import "time"

// sendCanary sends the primary call of the first shard that has not been called. The other shards wait for its reply.
func (p *Planner) sendCanary(now time.Time) {
	p.awaitingCanary = true
	for i := range p.shards {
		if p.sendPrimary(uint32(i), now) {
			p.env.Primary(1)
			return
		}
	}
	p.awaitingCanary = false
}

// handleCrash reports a request that was in flight on a server that crashed. The shard is not tried again. If the call
// was a canary, the query ends.
func (p *Planner) handleCrash(n int, r Result) {
	p.crashed = true
	p.hedges = p.hedges[:0]
	p.pendingReports++
	p.actions = append(p.actions, Action{Kind: Suspect, Call: p.attempts[n].call})
	p.resolve(r.Shard, reasonCrashed)
	if !p.awaitingCanary {
		return
	}
	p.awaitingCanary = false
	for i := range p.shards {
		p.resolve(uint32(i), reasonCrashed)
	}
}
