package answerer

import (
	"time"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/selector"
)

const (
	// firstTrigger and firstTypical are the parts of a route's target that stand for its latencies before they have
	// been measured.
	firstTrigger = 3
	firstTypical = 10
	// leastTrigger and mostTrigger bound the age at which a call is hedged: above the noise of the network, and so
	// early that the hedge can still be answered before the target.
	leastTrigger      = 8 * time.Millisecond
	mostTriggerNumber = 2
	mostTriggerPart   = 5
	// slowFactor is how many typical calls old a call is at the latest when it is hedged. 5% of the calls of a healthy
	// leaf take as long.
	slowFactor = 1.8
	// plainTarget stands for the target of routes that state none.
	plainTarget = time.Second
)

// world answers the planner's questions about what the queries of this host share.
type world query

// Pin returns the leaves of each shard as one snapshot, whose number is the version of the configuration.
func (w *world) Pin(above uint64, _ time.Time) (*cataloguer.Snapshot, planner.Reason) {
	version := w.view.Version()
	if version <= above {
		return nil, reasonNoReplica
	}
	out := &cataloguer.Snapshot{Number: version, Shards: uint32(len(w.shards)), Holders: make([][]*cataloguer.Leaf, len(w.shards))} //nolint:gosec // Bounded by the document.
	for i, name := range w.shards {
		out.Holders[i] = w.view.Holders[name]
	}
	return out, reasonNone
}

// Choose picks a leaf. Leaves that lately could not be reached are left out as long as the other shards suffice.
func (w *world) Choose(shard uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	q := (*query)(w)
	c := q.choice(shard)
	c.Holders, c.Tried = holders, tried
	leaf, ok := q.answerer.selector.Choose(c, now)
	if !ok && len(tried) == 0 {
		if q.skippable() {
			q.skipped++
			return planner.Target{}, false
		}
		c.Force = true
		leaf, ok = q.answerer.selector.Choose(c, now)
	}
	return planner.Target{Leaf: leaf}, ok
}

// skippable reports whether one more shard may be missing.
func (q *query) skippable() bool {
	if len(q.route.Gather) == 0 {
		return false
	}
	if q.give != nil {
		return q.skipped < q.spare
	}
	left := len(q.shards) - q.skipped - 1
	return float64(left) >= q.route.Least*float64(len(q.shards)) && left > 0
}

func (q *query) choice(shard uint32) selector.Choice {
	a := q.answerer
	return selector.Choice{
		Center: a.center, Typical: q.typical(), Random: a.random, ColdInterval: q.coldInterval(q.shards[shard]),
	}
}

// coldInterval spreads what a cold leaf bears over the entry hosts; 0 when the service states no rate.
func (q *query) coldInterval(service string) time.Duration {
	s, ok := q.view.Table.Service(service)
	if !ok || s.ColdRate <= 0 {
		return 0
	}
	b := &q.answerer.bounds
	rate := (s.ColdRate*b.Cold + b.ColdSlack) / float64(max(q.view.Entries, 1))
	return time.Duration(float64(time.Second) / rate)
}

// aim returns the route's target.
func (q *query) aim() time.Duration {
	if q.route.Target > 0 {
		return q.route.Target
	}
	return plainTarget
}

// typical returns the latency of a typical call of the route.
func (q *query) typical() time.Duration {
	if t := q.answerer.estimate.Typical(q.route.Name); t > 0 {
		return t
	}
	return q.aim() / firstTypical
}

// Trigger returns the age at which a call is hedged.
func (w *world) Trigger() time.Duration {
	q := (*query)(w)
	trigger := q.answerer.estimate.Trigger(q.route.Name)
	if trigger == 0 {
		trigger = q.aim() / firstTrigger
	}
	// While some leaves are slow, the percentile lies among their calls; a typical call still tells them apart.
	trigger = min(trigger, time.Duration(slowFactor*float64(q.typical())))
	return max(leastTrigger, min(trigger, q.aim()*mostTriggerNumber/mostTriggerPart))
}

// Primary is counted when the request arrives.
func (*world) Primary(int) {}

// Hedge spends budget for a second call to a shard.
func (w *world) Hedge(shard uint32) bool { return w.spend(shard) }

// Unsent reports whether a call waits for a connection.
func (w *world) Unsent(c planner.Call) bool {
	running, ok := w.running[c.Attempt]
	return ok && running.out.Gate.IsOpen()
}

// Retry spends budget for another call to a shard.
func (w *world) Retry(shard uint32) bool { return w.spend(shard) }

func (w *world) spend(shard uint32) bool {
	a := w.answerer
	return a.budget.Spend(w.shards[shard], (*query)(w).slack(a.clock()), a.clock())
}

// onDuty reports whether this host has been responsible for a portion for a whole window.
func (a *Answerer) onDuty(key string, now time.Time) bool {
	return a.divider != nil && a.divider.OnDuty(key, a.bounds.Window, now)
}

// slack returns this host's part of the extra calls of a service that are permitted without requests. Calls to the
// leaves of a portion are made by the hosts that gather it, which share them, and by others only where those are lost.
func (q *query) slack(now time.Time) float64 {
	a := q.answerer
	all := budgetShare * a.bounds.Slack
	if q.give == nil || a.divider == nil {
		return all / float64(max(q.view.Entries, 1))
	}
	if !a.onDuty(q.key, now) {
		return 0
	}
	return all / float64(max(a.divider.Callers(q.view.Helpers), 1))
}
