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

// watched reports whether calls are looked at again after the trigger: a call that must not run twice is not hedged, but
// as long as it has not been sent another leaf may have it.
func (p *Planner) watched() bool {
	_, shares := p.world.(Sharer)
	return p.mayHedge() || shares && p.trigger > 0 && !p.crashed
}

// hedgeable reports whether an attempt is the last one of its shard and still runs.
func (p *Planner) hedgeable(n int) bool {
	a := &p.attempts[n]
	most := maxHedges
	if p.waiting {
		most = maxCanaryHedges
	}
	s := &p.shards[a.call.Shard]
	return p.watched() && n >= p.first && a.state == open && s.last == n && !s.settled && s.hedges < most && p.spare(s)
}

// Sharer is a World in which two calls can share the permission to be sent, so that one of them is at most.
type Sharer interface {
	// Unsent reports whether nothing of a call has been sent yet, as while it waits for a connection. It may be sent at
	// any time after.
	Unsent(call Call) bool
}

// share makes a call to another leaf that may be sent in place of an attempt that has not been sent, whichever has a
// connection first. That needs no budget: one leaf gets the request, as before. It reports whether it did.
func (p *Planner) share(n int, target Target, now time.Time) bool {
	a := &p.attempts[n]
	world, ok := p.world.(Sharer)
	if !ok || a.call.Rival != "" || !world.Unsent(a.call) {
		return false
	}
	return p.send(a.call.Shard, target, Resend, now, withRival(a.call.Attempt))
}

// second hedges an attempt. It reports false when there was no budget; without another replica nothing is to be done.
func (p *Planner) second(n int, now time.Time) bool {
	i := p.attempts[n].call.Shard
	target, ok := p.world.Choose(i, p.snapshot.Holders[i], p.tried(i), now)
	if !ok {
		return true
	}
	if !p.mayHedge() || !p.world.Hedge(i) {
		return p.share(n, target, now)
	}
	if p.send(i, target, Hedge, now) {
		p.shards[i].hedges++
	}
	return true
}
