package planner

import "time"

// recheckInterval is the time between two checks for a newer snapshot. Snapshots are announced every 500 ms, so
// checking every 20 ms adds little delay.
const recheckInterval = 20 * time.Millisecond

// awaitSnapshot keeps a shard unresolved whose leaves no longer hold the pinned snapshot: they have switched to a newer
// one that has not been announced to this host yet. It reports false when it would be too late for a rerun.
func (p *Planner) awaitSnapshot(i uint32, now time.Time) bool {
	if !p.mayRerun(now.Add(recheckInterval)) {
		return false
	}
	if len(p.awaitingSnapshot) == 0 {
		p.recheck = now.Add(recheckInterval)
	}
	p.awaitingSnapshot = append(p.awaitingSnapshot, i)
	return true
}

// recheckSnapshot reruns the query once a newer snapshot is known. It resolves the waiting shards as missing once it is
// too late for a rerun.
func (p *Planner) recheckSnapshot(now time.Time) {
	if len(p.awaitingSnapshot) == 0 || now.Before(p.recheck) || p.rerun(now) {
		return
	}
	p.recheck = now.Add(recheckInterval)
	if p.mayRerun(p.recheck) {
		return
	}
	expired := p.awaitingSnapshot
	p.awaitingSnapshot = nil
	for _, i := range expired {
		p.resolve(i, reasonSnapshotGone)
	}
	if p.awaitingCanary {
		p.sendCanary(now)
	}
}
