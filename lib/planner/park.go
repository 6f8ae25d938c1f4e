package planner

import "time"

// recheckInterval is the time between two looks for a newer snapshot. Announcements come every 500 ms, so a look every
// 20 ms adds little to the wait.
const recheckInterval = 20 * time.Millisecond

// park keeps a shard open whose leaves no longer hold the pinned snapshot: they have moved on to one that this host
// has not heard of yet. It reports false when a rerun would come too late.
func (p *Planner) park(i uint32, now time.Time) bool {
	if !p.mayRerun(now.Add(recheckInterval)) {
		return false
	}
	if len(p.parked) == 0 {
		p.recheck = now.Add(recheckInterval)
	}
	p.parked = append(p.parked, i)
	return true
}

// unpark reruns the query when a newer snapshot is known, and settles the parked shards once that would be too late.
func (p *Planner) unpark(now time.Time) {
	if len(p.parked) == 0 || now.Before(p.recheck) || p.rerun(now) {
		return
	}
	p.recheck = now.Add(recheckInterval)
	if p.mayRerun(p.recheck) {
		return
	}
	late := p.parked
	p.parked = nil
	for _, i := range late {
		p.settle(i, reasonGone)
	}
	if p.waiting {
		p.canary(now)
	}
}
