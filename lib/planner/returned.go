package planner

import "time"

// handleReturned processes the result of a call.
func (p *Planner) handleReturned(r Result, now time.Time) {
	n, ok := p.find(r)
	if !ok {
		p.dropResult(r, true)
		return
	}
	a := &p.attempts[n]
	if a.state != open {
		p.dropResult(r, false)
		return
	}
	a.state = done
	a.reason = r.Reason
	a.reached = !r.Unsent && !r.NotRun
	a.uncertain = a.reached && r.Reason != reasonNone && !notRunReasons[r.Reason]
	s := &p.shards[r.Shard]
	s.open--
	if r.Unsent {
		s.unsent++
	} else {
		p.cancelExclusive(n)
	}
	p.actions = append(p.actions, Action{Kind: RecordCall, Call: a.call, Result: r})
	if r.Reason == reasonNone {
		p.handleAnswer(r, now)
		return
	}
	p.handleFailure(n, r, now)
}

// cancelExclusive cancels the call that is mutually exclusive with an attempt that has been sent. It can no longer be
// sent, and nothing must wait for it.
func (p *Planner) cancelExclusive(n int) {
	call := &p.attempts[n].call
	s := &p.shards[call.Shard]
	for m := s.lastAttempt; m != none; m = p.attempts[m].previous {
		a := &p.attempts[m]
		if a.state != open || a.call.ExclusiveWith != call.Attempt && a.call.Attempt != call.ExclusiveWith {
			continue
		}
		a.state = cancelled
		a.reached, a.uncertain = false, false
		s.open--
		s.unsent++
		p.actions = append(p.actions, Action{Kind: Cancel, Call: a.call})
	}
}

// handleAnswer stores a shard's answer and cancels the shard's other calls.
func (p *Planner) handleAnswer(r Result, now time.Time) {
	s := &p.shards[r.Shard]
	s.answered = true
	s.body = r.Body
	s.bodySnapshot = r.Snapshot
	s.answeredBy = r.Attempt
	p.resolve(r.Shard, reasonNone)
	if p.awaitingCanary {
		p.query.Canary = false
		p.actions = append(p.actions, Action{Kind: ClearSuspect})
		p.fanOut(now)
	}
}

// handleFailure replaces a failed call, or resolves its shard as missing when no further call can help.
func (p *Planner) handleFailure(n int, r Result, now time.Time) {
	if r.Reason == reasonCrashed {
		p.handleCrash(n, r)
		return
	}
	s := &p.shards[r.Shard]
	if s.open > 0 {
		return
	}
	if p.retry(n, r, now) {
		return
	}
	if (r.Reason == reasonSnapshotGone || r.Reason == reasonNoReplica) && p.rerun(now) {
		return
	}
	if r.Reason == reasonSnapshotGone && p.awaitSnapshot(r.Shard, now) {
		return
	}
	p.resolve(r.Shard, r.Reason)
	if p.awaitingCanary {
		p.sendCanary(now)
	}
}
