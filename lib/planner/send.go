package planner

import (
	"strconv"
	"time"
)

// send makes a call for a shard, unless too little time is left for its reply to come back.
func (p *Planner) send(i uint32, target Target, kind CallKind, now time.Time, options ...func(*Call)) bool {
	timeout := p.end().Sub(now) - Hop
	if timeout <= 0 {
		if p.shards[i].open == 0 {
			p.settle(i, reasonDeadline)
		}
		return false
	}
	s := &p.shards[i]
	n := len(p.attempts)
	call := Call{
		Attempt: p.query.Identity + "/" + strconv.Itoa(n), Snapshot: p.snapshot.Number, Shard: i, Target: target,
		Kind: kind, Canary: p.waiting, Alone: p.waiting && p.query.Alone, Sent: now, Timeout: timeout,
	}
	for _, o := range options {
		o(&call)
	}
	p.checkSingle(&call)
	p.attempts = append(p.attempts, attempt{call: call, previous: s.last, reached: true, lost: true, reason: reasonDeadline})
	s.last = n
	s.attempts++
	s.open++
	p.actions = append(p.actions, Action{Kind: Send, Call: call})
	if p.watched() {
		p.hedges = append(p.hedges, due{at: now.Add(p.trigger), attempt: n})
	}
	return true
}

// withRival sets the attempt with which a call shares the permission to be sent.
func withRival(attempt string) func(*Call) {
	return func(c *Call) { c.Rival = attempt }
}

// settle ends a shard without an answer and cancels what still runs for it.
func (p *Planner) settle(i uint32, reason Reason) {
	s := &p.shards[i]
	if s.settled {
		return
	}
	s.settled = true
	s.reason = reason
	p.left--
	if reason != reasonNone {
		p.missing++
	}
	p.cancel(i)
}

// cancel gives up the open calls of a shard.
func (p *Planner) cancel(i uint32) {
	s := &p.shards[i]
	for n := s.last; n != none && s.open > 0; n = p.attempts[n].previous {
		a := &p.attempts[n]
		if a.state != open {
			continue
		}
		a.state = cancelled
		s.open--
		p.actions = append(p.actions, Action{Kind: Cancel, Call: a.call})
	}
}

// tried lists the leaves that were called for a shard in the present run.
func (p *Planner) tried(i uint32) []string {
	out := make([]string, 0, p.shards[i].attempts)
	for n := p.shards[i].last; n != none; n = p.attempts[n].previous {
		out = append(out, p.attempts[n].call.Target.Leaf.Name)
	}
	return out
}
