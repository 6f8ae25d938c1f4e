package planner

import "time"

// mayHedge reports whether the query permits a second call to a shard while the first one still runs.
func (p *Planner) mayHedge() bool {
	suspect := p.awaitingCanary && p.query.Exclusive
	return p.trigger > 0 && !p.query.NonIdempotent && !p.crashed && !suspect
}

// sendHedges makes a second call for each call that is older than the trigger. A call for which there is no budget is
// checked again after another trigger interval.
func (p *Planner) sendHedges(now time.Time) {
	for len(p.hedges) > 0 && !p.hedges[0].at.After(now) {
		n := p.hedges[0].attempt
		p.hedges = p.hedges[1:]
		if p.hedgeable(n) && !p.hedgeAttempt(n, now) {
			p.hedges = append(p.hedges, hedgeTimer{at: now.Add(p.trigger), attempt: n})
		}
	}
}

// usesHedgeTimers reports whether calls are checked again after the trigger. A call that must not run twice is not
// hedged, but it may go to another leaf as long as it has not been sent.
func (p *Planner) usesHedgeTimers() bool {
	_, arbitrates := p.env.(SendArbiter)
	return p.mayHedge() || arbitrates && p.trigger > 0 && !p.crashed
}

// hedgeable reports whether an attempt is the latest of its shard, still runs, and may be followed by another call.
func (p *Planner) hedgeable(n int) bool {
	a := &p.attempts[n]
	limit := maxHedges
	if p.awaitingCanary {
		limit = maxCanaryHedges
	}
	s := &p.shards[a.call.Shard]
	return p.usesHedgeTimers() && n >= p.firstAttempt && a.state == open && s.lastAttempt == n && !s.resolved && s.hedges < limit && p.attemptsRemain(s)
}

// SendArbiter is an Environment that can make two calls mutually exclusive, so that at most one of them is sent.
type SendArbiter interface {
	// Unsent reports whether no byte of a call has been sent yet, for example because it waits for a connection. The call
	// may be sent at any time after.
	Unsent(call Call) bool
}

// sendExclusiveAlternative makes a call to another leaf as an alternative to an attempt that has not been sent: whichever gets a
// connection first is sent. It needs no budget, because still only one leaf receives the request. It reports whether it
// made the call.
func (p *Planner) sendExclusiveAlternative(n int, target Target, now time.Time) bool {
	a := &p.attempts[n]
	arbiter, ok := p.env.(SendArbiter)
	if !ok || a.call.ExclusiveWith != "" || !arbiter.Unsent(a.call) {
		return false
	}
	return p.send(a.call.Shard, target, Resend, now, withExclusive(a.call.Attempt))
}

// hedgeAttempt hedges an attempt. It reports false when the attempt should be checked again later because there was no
// budget. When there is no other replica, it does nothing and reports true.
func (p *Planner) hedgeAttempt(n int, now time.Time) bool {
	i := p.attempts[n].call.Shard
	target, ok := p.env.Choose(i, p.snapshot.Holders[i], p.tried(i), now)
	if !ok {
		return true
	}
	if !p.mayHedge() || !p.env.Hedge(i) {
		return p.sendExclusiveAlternative(n, target, now)
	}
	if p.send(i, target, Hedge, now) {
		p.shards[i].hedges++
	}
	return true
}
