package planner

import "time"

// retry makes another call for a shard whose calls have all failed. It reports whether it did.
func (p *Planner) retry(n int, r Result, now time.Time) bool {
	s := &p.shards[r.Shard]
	if p.crashed || !p.spare(s) || !retryable[r.Reason] || (p.query.Keyed && p.attempts[n].reached) {
		return false
	}
	target, ok := p.other(n, r, now)
	if !ok {
		return false
	}
	kind := Retry
	if free(r) {
		kind = Resend
	} else if !p.world.Retry(r.Shard) {
		return false
	}
	return p.send(r.Shard, target, kind, now)
}

// spare reports whether another call may be made for a shard.
func (p *Planner) spare(s *shard) bool {
	most := maxSends
	if p.query.Attempts > 0 {
		most = p.query.Attempts
	}
	return s.attempts < maxSends && s.attempts-s.unsent < most
}

// free reports whether a call may be repeated without budget: no leaf had it, and no leaf lacked capacity for it.
func free(r Result) bool {
	return r.Unsent && r.Reason != reasonOverload
}

// asked reports whether a host has been asked for a leaf of a shard in the present run.
func (p *Planner) asked(i uint32, leaf, owner string) bool {
	for n := p.shards[i].last; n != none; n = p.attempts[n].previous {
		if t := &p.attempts[n].call.Target; t.Leaf.Name == leaf && t.Owner == owner {
			return true
		}
	}
	return false
}

// other returns where the next call of a shard goes: to the owner that was named, to a replica not called yet, or
// to the same leaf again when only the way to it failed. Hosts between which a leaf moves may name each other: none is
// asked twice.
func (p *Planner) other(n int, r Result, now time.Time) (Target, bool) {
	called := p.attempts[n].call.Target
	if r.Reason == reasonNotOwner && r.Owner != "" && !p.asked(r.Shard, called.Leaf.Name, r.Owner) {
		return Target{Leaf: called.Leaf, Owner: r.Owner}, true
	}
	if target, ok := p.world.Choose(r.Shard, p.snapshot.Holders[r.Shard], p.tried(r.Shard), now); ok {
		return target, true
	}
	return called, r.Reason == reasonLost
}
