package planner

import "time"

// mayHedge reports whether a second call may be made while the first still runs.
func (p *Planner) mayHedge() bool {
	suspect := p.waiting && p.query.Alone
	return p.trigger > 0 && !p.query.Keyed && !p.crashed && !suspect
}

// hedge makes a second call for each call that is older than the trigger. A call for which there is no budget is
// looked at again one trigger later.
func (p *Planner) hedge(now time.Time) {
	for len(p.hedges) > 0 && !p.hedges[0].at.After(now) {
		n := p.hedges[0].attempt
		p.hedges = p.hedges[1:]
		if p.hedgeable(n) && !p.second(n, now) {
			p.hedges = append(p.hedges, due{at: now.Add(p.trigger), attempt: n})
		}
	}
}

// hedgeable reports whether an attempt is the last one of its shard and still runs.
func (p *Planner) hedgeable(n int) bool {
	a := &p.attempts[n]
	most := maxHedges
	if p.waiting {
		most = maxCanaryHedges
	}
	s := &p.shards[a.call.Shard]
	return p.mayHedge() && n >= p.first && a.state == open && s.last == n && !s.settled && s.hedges < most && p.spare(s)
}

// second hedges an attempt. It reports false when there was no budget; without another replica nothing is to be done.
func (p *Planner) second(n int, now time.Time) bool {
	i := p.attempts[n].call.Shard
	target, ok := p.world.Choose(i, p.snapshot.Holders[i], p.tried(i), now)
	if !ok {
		return true
	}
	if !p.world.Hedge(i) {
		return false
	}
	if p.send(i, target, Hedge, now) {
		p.shards[i].hedges++
	}
	return true
}
