package planner

import (
	"strconv"
	"time"
)

// send makes a call for a shard, unless too little time remains for its reply to arrive.
func (p *Planner) send(i uint32, target Target, kind CallKind, now time.Time, options ...func(*Call)) bool {
	timeout := p.replyDeadline().Sub(now) - HopMargin
	if timeout <= 0 {
		if p.shards[i].open == 0 {
			p.resolve(i, reasonDeadline)
		}
		return false
	}
	s := &p.shards[i]
	n := len(p.attempts)
	call := Call{
		Attempt: p.query.Identity + "/" + strconv.Itoa(n), Snapshot: p.snapshot.Number, Shard: i, Target: target,
		Kind: kind, Canary: p.awaitingCanary, Exclusive: p.awaitingCanary && p.query.Exclusive, Sent: now, Timeout: timeout,
	}
	for _, o := range options {
		o(&call)
	}
	p.checkOneAttempt(&call)
	p.attempts = append(p.attempts, attempt{call: call, previous: s.lastAttempt, reached: true, uncertain: true, reason: reasonDeadline})
	s.lastAttempt = n
	s.attempts++
	s.open++
	p.actions = append(p.actions, Action{Kind: Send, Call: call})
	if p.usesHedgeTimers() {
		p.hedges = append(p.hedges, hedgeTimer{at: now.Add(p.trigger), attempt: n})
	}
	return true
}

// withExclusive makes a call mutually exclusive with an earlier attempt: at most one of the two is sent.
func withExclusive(attempt string) func(*Call) {
	return func(c *Call) { c.ExclusiveWith = attempt }
}

// resolve ends the wait for a shard and cancels its open calls. The reason is reasonNone if the shard was answered.
func (p *Planner) resolve(i uint32, reason Reason) {
	s := &p.shards[i]
	if s.resolved {
		return
	}
	s.resolved = true
	s.reason = reason
	p.unresolved--
	if reason != reasonNone {
		p.missing++
	}
	p.cancel(i)
}

// cancel cancels the open calls of a shard.
func (p *Planner) cancel(i uint32) {
	s := &p.shards[i]
	for n := s.lastAttempt; n != none && s.open > 0; n = p.attempts[n].previous {
		a := &p.attempts[n]
		if a.state != open {
			continue
		}
		a.state = cancelled
		s.open--
		p.actions = append(p.actions, Action{Kind: Cancel, Call: a.call})
	}
}

// tried lists the leaves that were called for a shard in the current run.
func (p *Planner) tried(i uint32) []string {
	out := make([]string, 0, p.shards[i].attempts)
	for n := p.shards[i].lastAttempt; n != none; n = p.attempts[n].previous {
		out = append(out, p.attempts[n].call.Target.Leaf.Name)
	}
	return out
}
