package answerer

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/assembler"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/divider"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/merger"
	"lycheelift.example/lib/selector"
)

// Helper has portions gathered by other hosts.
type Helper interface {
	// Usable reports whether a host is connected, so that a portion can be sent to it without delay.
	Usable(host string) bool
	// Connected reports the same as Usable but opens no connection.
	Connected(host string) bool
	// Await waits until one of the hosts is connected, none of them is still connecting, or ctx ends.
	Await(ctx context.Context, hosts []string)
	// Gather has a portion gathered by a host and calls emit for each message. It returns an error that matches
	// ErrDeclined if it is certain that the host has not started gathering.
	Gather(ctx context.Context, host string, p *Portion, emit func(*Parts)) error
}

// ErrDeclined means that a host has refused to gather a portion and has sent nothing to any leaf.
var ErrDeclined = errors.New("the host declined to gather the portion")

const (
	// assembleTime is subtracted from the target time of a portion. It covers the transfer of its result and the merging
	// of all portions on hosts that have a fraction of a core. Parts that arrive later are sent one by one.
	assembleTime = 8 * time.Millisecond
	// assembleTimeDivisor limits assembleTime to a fraction of short targets.
	assembleTimeDivisor = 4
	// connectWait is how long a query waits for a connection to a helper, and connectWaitDivisor limits it to a fraction
	// of short targets. A host that gathers a portion it is not responsible for opens connections to all leaves of the
	// portion: if all hosts do so right after a start, the leaves run out of connections.
	connectWait        = 25 * time.Millisecond
	connectWaitDivisor = 4
	// minDividedPortions is the number of portions that a query must fill to be divided: for smaller queries, the round
	// trip to another host costs more than it saves.
	minDividedPortions = 2
)

// WithHelpers lets other hosts gather portions of at most size shards. Self is this host's own address among the
// view's helpers, and gatherers is the number of hosts in a data centre that gather the same portion.
func WithHelpers(self string, size, gatherers int, h Helper) Option {
	return func(a *Answerer) {
		a.self, a.helper, a.portionSize, a.divider = self, h, size, divider.New(self, gatherers)
	}
}

// Sweep discards the state of helpers that are no longer listed, opens connections to the others before they are
// needed, and updates the set of portions that this host is responsible for. It also logs the number of unauthorized
// requests. It must be called periodically.
func (a *Answerer) Sweep(now time.Time) {
	a.unauthorized.log(now)
	view := a.viewer.View()
	if view.Table != nil {
		a.countHosts(view, (*selector.HostCount).Observe, now)
	}
	if a.divider == nil || view.Table == nil {
		return
	}
	a.divider.Retain(view.EntryHosts())
	seen := make(map[string]bool)
	var responsible []string
	for i := range view.Table.Document().Routes {
		services := view.Table.Document().Routes[i].Gather
		if !a.shouldDivide(view, services) || seen[services[0]] {
			continue
		}
		seen[services[0]] = true
		shards := shardPlacement(view, services)
		for _, p := range a.divider.Divide(a.center, shards, view.Helpers, a.portionSize) {
			for _, host := range a.divider.Candidates(p.Key, view.Helpers[p.Center]) {
				if host != a.divider.Self() {
					a.helper.Usable(host)
				}
			}
		}
		for _, key := range divider.Keys(a.center, shards, a.portionSize) {
			if slices.Contains(a.divider.Responsible(key, view.Helpers[a.center]), a.divider.Self()) {
				responsible = append(responsible, key)
			}
		}
	}
	a.divider.SetResponsible(responsible, now)
}

// shouldDivide reports whether a query over the given services is divided into portions for other hosts.
func (a *Answerer) shouldDivide(view *follower.View, services []string) bool {
	return a.helper != nil && a.portionSize > 0 && len(services) >= minDividedPortions*a.portionSize && view.HasHelpers()
}

// shardPlacement returns the shards of the given services with the data centres of their leaves.
func shardPlacement(view *follower.View, services []string) []divider.Shard {
	out := make([]divider.Shard, 0, len(services))
	for _, service := range services {
		s := divider.Shard{Service: service}
		for _, l := range view.Holders[service] {
			if !slices.Contains(s.Centers, l.Center) {
				s.Centers = append(s.Centers, l.Center)
			}
		}
		out = append(out, s)
	}
	return out
}

// portionState is a portion and the parts received for it so far.
type portionState struct {
	portion *Portion
	// candidates are the hosts that may gather the portion.
	candidates []string
	parts      *Parts
}

// update carries newly received parts of a portion.
type update struct {
	number int
	parts  *Parts
}

// gatherDivided has the portions of the query gathered and merges their results.
func (q *query) gatherDivided(ctx context.Context) *carrier.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	portions := q.divide()
	updates := make(chan update, len(portions))
	sizes := make([]int, len(portions))
	for i, s := range portions {
		sizes[i] = len(s.portion.Services)
		go q.fetch(ctx, i, s, updates)
	}
	assemble := assembler.New(assembler.Query{
		Sizes: sizes, MinCoverage: q.route.MinCoverage, Received: q.request.Received, Target: q.targetTime(), Deadline: q.deadline,
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.answerer.clock()
		if assemble.Done(now) {
			return q.assembledReply(portions, assemble.Sufficient(), now)
		}
		timer.Reset(assemble.Next(now).Sub(now))
		select {
		case u := <-updates:
			portions[u.number].parts = u.parts
			q.observePortion(portions[u.number].portion, u.parts)
			assemble.Update(u.number, len(u.parts.Stamps), u.parts.Final)
			q.answered = q.answered || len(u.parts.Stamps) > 0
			q.lostConnections += u.parts.LostConnections
		case <-timer.C:
		case <-ctx.Done():
			return cancelledReply(ctx)
		}
	}
}

// cancelledReply returns the reply to a query whose context has ended.
func cancelledReply(ctx context.Context) *carrier.Reply {
	if errors.Is(context.Cause(ctx), drainer.ErrStopping) {
		return &carrier.Reply{Outcome: carrier.TimedOut, Reason: drainer.ErrStopping.Error()}
	}
	return &carrier.Reply{Outcome: carrier.Abandoned, Reason: "the caller disconnected"}
}

// divide splits the query into portions.
func (q *query) divide() []*portionState {
	a := q.answerer
	portions := a.divider.Divide(a.center, shardPlacement(q.view, q.shards), q.view.Helpers, a.portionSize)
	maxMissing := q.maxMissingPerPortion(len(portions))
	softDeadline := q.deadline
	if target := q.targetTime(); !target.IsZero() {
		softDeadline = target.Add(-min(assembleTime, q.route.Target/assembleTimeDivisor))
	}
	out := make([]*portionState, 0, len(portions))
	for _, p := range portions {
		out = append(out, &portionState{
			parts: &Parts{}, candidates: a.divider.Candidates(p.Key, q.view.Helpers[p.Center]),
			portion: &Portion{
				Request: q.request, Route: q.route.Name, RouteTarget: q.route.Target, Key: p.Key, Services: p.Services, Top: q.route.Top, Attempts: max(q.route.Attempts, 1),
				MaxMissing: maxMissing, SoftDeadline: softDeadline, Deadline: q.deadline, Requester: a.host, Version: q.view.Version(),
				KeyOrdinal: q.keyOrdinal(), Priority: q.priority(),
			},
		})
	}
	return out
}

// maxMissingPerPortion returns the number of shards that each of the query's portions may omit.
func (q *query) maxMissingPerPortion(portions int) int {
	return int(float64(len(q.shards))*(1-q.route.MinCoverage)) / max(portions, 1)
}

// fetch has one portion gathered by the chosen host, or by this host if that one declines.
func (q *query) fetch(ctx context.Context, number int, s *portionState, updates chan<- update) {
	a, p := q.answerer, s.portion
	emit := func(parts *Parts) {
		select {
		case updates <- update{number: number, parts: parts}:
		case <-ctx.Done():
		}
	}
	began := a.clock()
	host := q.choose(ctx, s.candidates, began)
	if host != a.divider.Self() {
		if err := q.gatherRemotely(ctx, host, p, began, emit); !errors.Is(err, ErrDeclined) {
			return
		}
	}
	a.Gather(ctx, p, emit)
}

// choose returns the host that gathers a portion. It waits briefly for a candidate that is still connecting.
func (q *query) choose(ctx context.Context, candidates []string, now time.Time) string {
	a := q.answerer
	host := a.divider.Choose(candidates, a.helper.Usable, now)
	if host != a.divider.Self() || slices.Contains(candidates, host) || len(candidates) == 0 {
		return host
	}
	ctx, cancel := context.WithTimeout(ctx, q.connectWait())
	defer cancel()
	a.helper.Await(ctx, candidates)
	return a.divider.Choose(candidates, a.helper.Usable, a.clock())
}

// connectWait returns how long the query waits for a connection to a helper.
func (q *query) connectWait() time.Duration {
	if q.route.Target > 0 {
		return min(connectWait, q.route.Target/connectWaitDivisor)
	}
	return connectWait
}

// gatherRemotely has a portion gathered by another host.
func (q *query) gatherRemotely(ctx context.Context, host string, p *Portion, began time.Time, emit func(*Parts)) error {
	a := q.answerer
	received, latest := false, Parts{}
	a.divider.Begin(host)
	err := a.helper.Gather(ctx, host, p, func(parts *Parts) {
		if !received {
			received = true
			a.divider.Answered(host, a.clock().Sub(began), a.clock())
		}
		latest = *parts
		emit(parts)
	})
	now := a.clock()
	lost := !received && (ctx.Err() == nil || now.After(p.SoftDeadline))
	a.divider.End(host, lost, now)
	if err == nil || ctx.Err() != nil && !lost {
		return nil
	}
	eventer.PortionFailed.Log(now, "id", p.Request.ID, "host", host, "services", len(p.Services), "heard", received, "took", now.Sub(began), "error", err.Error())
	if !errors.Is(err, ErrDeclined) {
		// The parts already received remain valid; no more will arrive.
		latest.Final, latest.NotRun = true, false
		emit(&latest)
	}
	return err
}

// assembledReply builds the reply from the parts received so far.
func (q *query) assembledReply(portions []*portionState, sufficient bool, now time.Time) *carrier.Reply {
	out := &carrier.Reply{Outcome: carrier.Gathered}
	var records [][]byte
	notRun := true
	for _, s := range portions {
		out.Stamps = append(out.Stamps, s.parts.Stamps...)
		records = append(records, s.parts.Records)
		notRun = notRun && s.parts.Final && s.parts.NotRun
	}
	out.Missing = len(q.shards) - len(out.Stamps)
	if out.Missing > 0 {
		out.Reason = reasonDeadline.String()
	}
	switch {
	case sufficient:
		out.Body = merger.Merge(records, q.route.Top)
		return out
	case notRun:
		return q.refused(reasonNoReplica)
	case !now.Before(q.deadline):
		out.Outcome = carrier.TimedOut
	default:
		q.unreachable = true
		out.Outcome, out.Reason = carrier.Failed, reasonCoverage.String()
	}
	return out
}
