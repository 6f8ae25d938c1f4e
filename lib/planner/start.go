package planner

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// start pins the snapshot and sends the primary calls.
func (p *Planner) start(now time.Time) {
	snapshot, reason := p.env.Pin(0, now)
	if snapshot == nil {
		p.sendReply(&Reply{Outcome: callerv1.Outcome_OUTCOME_REFUSED, Reason: reason})
		return
	}
	p.run(snapshot, now)
}

// run starts the query on a snapshot and resets the state of an earlier run.
func (p *Planner) run(snapshot *cataloguer.Snapshot, now time.Time) {
	p.snapshot = snapshot
	p.firstAttempt = len(p.attempts)
	p.unresolved, p.missing = int(snapshot.Shards), 0
	p.shards = make([]shard, snapshot.Shards)
	p.hedges = p.hedges[:0]
	p.awaitingSnapshot = nil
	p.trigger = p.env.Trigger()
	for i := range p.shards {
		p.shards[i].lastAttempt = none
	}
	if p.query.Canary {
		p.sendCanary(now)
		return
	}
	p.fanOut(now)
}

// fanOut sends the primary calls of all shards that have none.
func (p *Planner) fanOut(now time.Time) {
	p.awaitingCanary = false
	if p.attempts == nil {
		p.attempts = make([]attempt, 0, len(p.shards)+len(p.shards)/8+1)
		p.actions = make([]Action, 0, len(p.shards)+2)
	}
	sent := 0
	for i := range p.shards {
		if p.sendPrimary(uint32(i), now) {
			sent++
		}
	}
	if sent > 0 {
		p.env.Primary(sent)
	}
}

// sendPrimary sends a shard's first call, or resolves the shard as missing when no leaf holds it.
func (p *Planner) sendPrimary(i uint32, now time.Time) bool {
	s := &p.shards[i]
	if s.resolved || s.attempts > 0 {
		return false
	}
	target, ok := p.env.Choose(i, p.snapshot.Holders[i], nil, now)
	if !ok {
		p.resolve(i, reasonNoReplica)
		return false
	}
	return p.send(i, target, Primary, now)
}
