package planner

import (
	"time"

	"lycheelift.example/lib/cataloguer"
)

// retry makes another call for a shard whose calls have all failed. It reports whether it did.
func (p *Planner) retry(n int, r Result, now time.Time) bool {
	s := &p.shards[r.Shard]
	if p.crashed || !p.attemptsRemain(s) || !retryableReasons[r.Reason] || (p.query.NonIdempotent && p.attempts[n].reached) {
		return false
	}
	target, ok := p.nextTarget(n, r, now)
	if !ok {
		return false
	}
	kind := Retry
	if needsNoBudget(r) {
		kind = Resend
	} else if !p.env.Retry(r.Shard) {
		return false
	}
	return p.send(r.Shard, target, kind, now)
}

// attemptsRemain reports whether another call may be made for a shard.
func (p *Planner) attemptsRemain(s *shard) bool {
	limit := MaxSends
	if p.query.Attempts > 0 {
		limit = p.query.Attempts
	}
	return s.attempts < MaxSends && s.attempts-s.unsent < limit
}

// needsNoBudget reports whether a call may be repeated without budget: no leaf received it, and it did not fail for
// lack of capacity.
func needsNoBudget(r Result) bool {
	return r.Unsent && r.Reason != reasonOverloaded
}

// alreadyCalled reports whether a leaf of a shard has been called through an owner in the current run.
func (p *Planner) alreadyCalled(i uint32, leaf, owner string) bool {
	for n := p.shards[i].lastAttempt; n != none; n = p.attempts[n].previous {
		if t := &p.attempts[n].call.Target; t.Leaf.Name == leaf && t.Owner == owner {
			return true
		}
	}
	return false
}

// nextTarget returns the target of a shard's next call: the owner named in the result, a replica not called yet, or the
// same leaf again when only the connection to it failed. While a leaf moves between two hosts, each may name the other
// as the owner, so neither is called twice.
func (p *Planner) nextTarget(n int, r Result, now time.Time) (Target, bool) {
	current := p.attempts[n].call.Target
	if r.Reason == reasonNotOwner && r.Owner != "" && !p.alreadyCalled(r.Shard, current.Leaf.Name, r.Owner) {
		return Target{Leaf: current.Leaf, Owner: r.Owner}, true
	}
	if target, ok := p.env.Choose(r.Shard, p.snapshot.Holders[r.Shard], p.tried(r.Shard), now); ok {
		return target, true
	}
	return current, r.Reason == reasonConnectionLost && p.callable(r.Shard, current.Leaf, now)
}

// LeafChecker is an Environment whose leaves may leave while a query runs.
type LeafChecker interface {
	// Callable reports whether a leaf of the pinned snapshot may still be called for a shard.
	Callable(shard uint32, leaf *cataloguer.Leaf, now time.Time) bool
}

// callable reports whether a leaf that was called before may be called again.
func (p *Planner) callable(i uint32, leaf *cataloguer.Leaf, now time.Time) bool {
	checker, ok := p.env.(LeafChecker)
	return !ok || checker.Callable(i, leaf, now)
}
