package planner

import "time"

// returned takes the end of a call.
func (p *Planner) returned(r Result, now time.Time) {
	n, ok := p.find(r)
	if !ok {
		p.drop(r, true)
		return
	}
	a := &p.attempts[n]
	if a.state != open {
		p.drop(r, false)
		return
	}
	a.state = done
	a.reason = r.Reason
	a.reached = !r.Unsent && !r.NotRun
	a.lost = a.reached && r.Reason != reasonNone && !refused[r.Reason]
	s := &p.shards[r.Shard]
	s.open--
	if r.Unsent {
		s.unsent++
	}
	p.actions = append(p.actions, Action{Kind: Ended, Call: a.call, Result: r})
	if r.Reason == reasonNone {
		p.answered(r, now)
		return
	}
	p.failed(n, r, now)
}

// answered keeps a shard's answer and cancels the calls that lost against it.
func (p *Planner) answered(r Result, now time.Time) {
	s := &p.shards[r.Shard]
	s.answered = true
	s.body = r.Body
	s.source = r.Snapshot
	s.winner = r.Attempt
	p.settle(r.Shard, reasonNone)
	if p.waiting {
		p.query.Canary = false
		p.actions = append(p.actions, Action{Kind: Clear})
		p.fan(now)
	}
}

// failed replaces a failed call, or settles its shard when no further call can help.
func (p *Planner) failed(n int, r Result, now time.Time) {
	if r.Reason == reasonCrashed {
		p.suspect(n, r)
		return
	}
	s := &p.shards[r.Shard]
	if s.open > 0 {
		return
	}
	if p.retry(n, r, now) {
		return
	}
	if (r.Reason == reasonGone || r.Reason == reasonNoReplica) && p.rerun(now) {
		return
	}
	if r.Reason == reasonGone && p.park(r.Shard, now) {
		return
	}
	p.settle(r.Shard, r.Reason)
	if p.waiting {
		p.canary(now)
	}
}
