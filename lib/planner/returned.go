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
	} else {
		p.dropRival(n)
	}
	p.actions = append(p.actions, Action{Kind: Ended, Call: a.call, Result: r})
	if r.Reason == reasonNone {
		p.answered(r, now)
		return
	}
	p.failed(n, r, now)
}

// dropRival gives up the call that shares the permission to be sent with an attempt that has been sent. It never will be,
// and nothing is to wait for it.
func (p *Planner) dropRival(n int) {
	call := &p.attempts[n].call
	s := &p.shards[call.Shard]
	for m := s.last; m != none; m = p.attempts[m].previous {
		a := &p.attempts[m]
		if a.state != open || a.call.Rival != call.Attempt && a.call.Attempt != call.Rival {
			continue
		}
		a.state = cancelled
		a.reached, a.lost = false, false
		s.open--
		s.unsent++
		p.actions = append(p.actions, Action{Kind: Cancel, Call: a.call})
	}
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
