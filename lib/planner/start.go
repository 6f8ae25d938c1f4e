package planner

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// start pins the snapshot and sends the primary calls.
func (p *Planner) start(now time.Time) {
	snapshot, reason := p.world.Pin(0, now)
	if snapshot == nil {
		p.close(&Reply{Outcome: callerv1.Outcome_OUTCOME_REFUSED, Reason: reason})
		return
	}
	p.run(snapshot, now)
}

// run answers the whole query from a snapshot.
func (p *Planner) run(snapshot *cataloguer.Snapshot, now time.Time) {
	p.snapshot = snapshot
	p.first = len(p.attempts)
	p.left, p.missing = int(snapshot.Shards), 0
	p.shards = make([]shard, snapshot.Shards)
	p.hedges = p.hedges[:0]
	p.parked = nil
	p.trigger = p.world.Trigger()
	for i := range p.shards {
		p.shards[i].last = none
	}
	if p.query.Canary {
		p.canary(now)
		return
	}
	p.fan(now)
}

// fan sends the primary calls of all shards that have none.
func (p *Planner) fan(now time.Time) {
	p.waiting = false
	if p.attempts == nil {
		p.attempts = make([]attempt, 0, len(p.shards)+len(p.shards)/8+1)
		p.actions = make([]Action, 0, len(p.shards)+2)
	}
	sent := 0
	for i := range p.shards {
		if p.primary(uint32(i), now) {
			sent++
		}
	}
	if sent > 0 {
		p.world.Primary(sent)
	}
}

// primary sends a shard's first call, or settles the shard when no leaf holds it.
func (p *Planner) primary(i uint32, now time.Time) bool {
	s := &p.shards[i]
	if s.settled || s.attempts > 0 {
		return false
	}
	target, ok := p.world.Choose(i, p.snapshot.Holders[i], nil, now)
	if !ok {
		p.settle(i, reasonNoReplica)
		return false
	}
	return p.send(i, target, Primary, now)
}
