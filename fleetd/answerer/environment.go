package answerer

import (
	"slices"
	"time"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/selector"
)

const (
	// initialTriggerDivisor and initialTypicalDivisor divide a route's target to estimate its latencies before any have
	// been measured.
	initialTriggerDivisor = 3
	initialTypicalDivisor = 10
	// minTrigger and maxTriggerNumerator/maxTriggerDenominator of the target bound the age at which a call is hedged:
	// above the network's jitter, and early enough for the hedge to be answered before the target.
	minTrigger            = 8 * time.Millisecond
	maxTriggerNumerator   = 2
	maxTriggerDenominator = 5
	// slowFactor limits the age at which a call is hedged to a multiple of the typical latency. 5% of the calls to a
	// healthy leaf take at least that long.
	slowFactor = 1.8
	// scarceBudget is the share of the budget for extra calls below which hedges are postponed.
	scarceBudget = 0.5
	// postponeNumerator/postponeDenominator is the age, in trigger intervals, from which hedges are not postponed. It lies
	// between the first and the second check of a call.
	postponeNumerator, postponeDenominator = 3, 2
	// defaultTarget is used for routes without a target.
	defaultTarget = time.Second
)

// environment gives the planner access to the state that the queries of this host share.
type environment query

// Pin returns the leaves of each shard as one snapshot, numbered by the version of the configuration.
func (e *environment) Pin(above uint64, now time.Time) (*cataloguer.Snapshot, planner.Reason) {
	version := e.view.Version()
	if version <= above {
		return nil, reasonNoReplica
	}
	out := &cataloguer.Snapshot{Number: version, Shards: uint32(len(e.shards)), Holders: make([][]*cataloguer.Leaf, len(e.shards))} //nolint:gosec // Bounded by the document.
	for i, name := range e.shards {
		out.Holders[i] = e.view.Candidates(name, everyCall, now)
	}
	return out, reasonNone
}

// Choose picks a leaf among those that hold the shard now: some of the pinned holders may have left or been evacuated since
// the request arrived. Leaves that could not be reached recently are skipped as long as the other shards give sufficient
// coverage. The share of a running rollout applies to the first call for a shard only: hedges and retries go to the version in
// use until the rollout has moved all traffic.
func (e *environment) Choose(shard uint32, _ []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	q := (*query)(e)
	if q.keyRemoved() {
		return planner.Target{}, false
	}
	c := q.choice(shard)
	view, service, drawn := q.answerer.viewer.View(), q.shards[shard], everyCall
	if len(tried) == 0 && len(view.Trials[service]) > 0 {
		drawn = q.answerer.random()
	}
	c.Holders, c.Tried = view.Candidates(service, drawn, now), tried
	decision, ok := q.answerer.selector.Decide(c, now)
	if !ok && drawn < everyCall {
		c.Holders = view.Candidates(service, everyCall, now)
		decision, ok = q.answerer.selector.Decide(c, now)
	}
	if !ok && len(tried) == 0 {
		if q.skippable() {
			q.skipped++
			return planner.Target{}, false
		}
		c.Force = true
		decision, ok = q.answerer.selector.Decide(c, now)
	}
	if ok {
		q.answerer.metrics.choice(&decision)
	}
	return planner.Target{Leaf: decision.Leaf}, ok
}

// Callable reports whether a leaf still holds the shard and wants requests, and the request may still be sent.
func (e *environment) Callable(shard uint32, leaf *cataloguer.Leaf, now time.Time) bool {
	return !(*query)(e).keyRemoved() && !e.answerer.selector.Barred(leaf, now) && e.answerer.viewer.View().Callable(e.shards[shard], leaf, now)
}

// everyCall stands for calls that a rollout moves only together with all others.
const everyCall = 1.0

// holders returns the leaves that hold a shard at present.
func (q *query) holders(shard uint32) []*cataloguer.Leaf {
	return q.answerer.viewer.View().Candidates(q.shards[shard], everyCall, q.answerer.clock())
}

// skippable reports whether one more shard may be omitted.
func (q *query) skippable() bool {
	if len(q.route.Gather) == 0 {
		return false
	}
	if q.emit != nil {
		return q.skipped < q.maxMissing
	}
	remaining := len(q.shards) - q.skipped - 1
	return float64(remaining) >= q.route.MinCoverage*float64(len(q.shards)) && remaining > 0
}

func (q *query) choice(shard uint32) selector.Choice {
	a := q.answerer
	return selector.Choice{
		Center: a.center, Typical: q.typical(), Random: a.random, Cold: q.coldShare(q.shards[shard]),
	}
}

// coldShare returns how the calls to cold leaves of a service are divided among the entry hosts. There is no limit if the service
// sets no rate.
func (q *query) coldShare(service string) selector.ColdShare {
	s, ok := q.view.Table.Service(service)
	if !ok || s.ColdRate <= 0 {
		return selector.ColdShare{}
	}
	a := q.answerer
	now := a.clock()
	if !slices.ContainsFunc(a.viewer.View().Holders[service], func(l *cataloguer.Leaf) bool { return now.Before(l.ColdUntil) }) {
		return selector.ColdShare{}
	}
	observe := (*selector.HostCount).Observe
	if q.preview {
		observe = (*selector.HostCount).Inspect
	}
	hosts, index, settled := a.countHosts(q.view, observe, now)
	return selector.ColdShare{Bound: s.ColdRate*a.bounds.Cold + a.bounds.ColdSlack, Hosts: hosts, Index: index, Unsettled: !settled}
}

// hostObserver returns the number of hosts by which limits are divided, given the present one.
type hostObserver func(c *selector.HostCount, hosts int, now time.Time) (count int, settled bool)

// countHosts returns the number of entry hosts and the position of this host among them, -1 if it is not listed. It reports whether
// the number has been known for long enough. The position is the number of listed hosts whose addresses sort before its own.
func (a *Answerer) countHosts(view *follower.View, observe hostObserver, now time.Time) (hosts, index int, settled bool) {
	listed, self := 0, false
	for _, addresses := range view.Helpers {
		listed += len(addresses)
		for _, address := range addresses {
			self = self || address == a.self
			if address < a.self {
				index++
			}
		}
	}
	if !self {
		index = -1
	}
	a.hostsMu.Lock()
	defer a.hostsMu.Unlock()
	hosts, settled = observe(&a.hosts, max(view.Entries, listed, 1), now)
	return hosts, index, settled
}

// targetOrDefault returns the route's target, or defaultTarget if it has none.
func (q *query) targetOrDefault() time.Duration {
	if q.route.Target > 0 {
		return q.route.Target
	}
	return defaultTarget
}

// typical returns the typical latency of the route's calls.
func (q *query) typical() time.Duration {
	if t := q.answerer.estimate.Typical(q.route.Name); t > 0 {
		return t
	}
	return q.targetOrDefault() / initialTypicalDivisor
}

// Trigger returns the age at which a call is hedged.
func (e *environment) Trigger() time.Duration {
	q := (*query)(e)
	trigger := q.answerer.estimate.Trigger(q.route.Name)
	if trigger == 0 {
		trigger = q.targetOrDefault() / initialTriggerDivisor
	}
	// While some leaves are slow, the percentile lies among their calls; the typical latency still separates slow calls
	// from normal ones.
	trigger = min(trigger, time.Duration(slowFactor*float64(q.typical())))
	return max(minTrigger, min(trigger, q.maxTrigger()))
}

// maxTrigger returns the greatest age at which a call is hedged, so that the hedge is answered before the target.
func (q *query) maxTrigger() time.Duration {
	return q.targetOrDefault() * maxTriggerNumerator / maxTriggerDenominator
}

// Primary does nothing: primary calls are counted when the request arrives.
func (*environment) Primary(int) {}

// Hedge spends budget on a hedge to a shard and reports whether there was enough. The planner asks again after another
// trigger interval.
func (e *environment) Hedge(shard uint32) bool {
	if (*query)(e).postponesHedge(shard) {
		e.answerer.metrics.postponedHedges.Inc(1)
		return false
	}
	return e.spendBudget(shard)
}

// postponesHedge reports whether a hedge should wait for another trigger interval. Where leaves report slowness, many calls
// are overdue only because their hosts are slow for a moment, and would use up the budget that calls to paused leaves need.
// So while little of it is left, a part of a gathered answer is hedged at the second interval, unless that is after the
// greatest age for a hedge.
func (q *query) postponesHedge(shard uint32) bool {
	a := q.answerer
	if len(q.route.Gather) == 0 || !a.selector.ReportsSlowness() {
		return false
	}
	now, trigger := a.clock(), (*environment)(q).Trigger()
	age, ok := q.callAge(shard, now)
	if !ok || age >= trigger*postponeNumerator/postponeDenominator || age+trigger > q.maxTrigger() {
		return false
	}
	return a.budget.Share(q.shards[shard], q.slack(now), now) < scarceBudget
}

// callAge returns the age of the latest call to a shard that is still running.
func (q *query) callAge(shard uint32, now time.Time) (time.Duration, bool) {
	var sent time.Time
	for _, c := range q.running {
		if c.planned.Shard == shard && c.planned.Sent.After(sent) {
			sent = c.planned.Sent
		}
	}
	return now.Sub(sent), !sent.IsZero()
}

// Unsent reports whether a call is still waiting for a connection.
func (e *environment) Unsent(c planner.Call) bool {
	running, ok := e.running[c.Attempt]
	return ok && running.outgoing.Gate.IsOpen()
}

// Retry spends budget on a retry to a shard and reports whether there was enough.
func (e *environment) Retry(shard uint32) bool { return e.spendBudget(shard) }

func (e *environment) spendBudget(shard uint32) bool {
	a := e.answerer
	return a.budget.Spend(e.shards[shard], (*query)(e).slack(a.clock()), a.clock())
}

// isGatherer reports whether this host has been responsible for a portion for at least one full budget window.
func (a *Answerer) isGatherer(key string, now time.Time) bool {
	return a.divider != nil && a.divider.IsResponsible(key, a.bounds.Window, now)
}

// slack returns this host's share of the extra calls to a service that are permitted regardless of requests. The
// hosts that gather a portion share the calls to its leaves; other hosts make such calls only when those hosts are
// lost.
func (q *query) slack(now time.Time) float64 {
	a := q.answerer
	all := budgetShare * a.bounds.Slack
	if q.emit == nil || a.divider == nil {
		return all / float64(max(q.view.Entries, 1))
	}
	if !a.isGatherer(q.portionKey, now) {
		return 0
	}
	return all / float64(max(a.divider.Callers(q.view.Helpers), 1))
}
