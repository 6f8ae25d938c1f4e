package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/repeater"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// rolloutInterval is the time between two checks of the running rollouts, and between two messages with counts to the
	// leader.
	rolloutInterval = 200 * time.Millisecond
	// baselineInterval is the time between two checks of the versions in use. The first check that finds leaves of a service
	// records the version of most of them, so a version that comes later does not become the version in use.
	baselineInterval = time.Second
	// baselineTimeout is how long a service must be without leaves of the version in use before another one takes its place.
	// It is longer than the restart of a control host and its leaves' next heartbeats.
	baselineTimeout = 10 * time.Second
	// maxOutbox bounds the counts that wait to be passed on to the leader.
	maxOutbox = 8192
	// countsTimeout bounds one message with counts.
	countsTimeout = 300 * time.Millisecond
)

// WithRollouts sets the bounds of rollouts. With baselines, the version in use of each service is recorded, and leaves of other
// versions get nothing without an order.
func WithRollouts(b roller.Bounds, baselines bool) Option {
	return func(k *Keeper) { k.rollouts.bounds, k.rollouts.baselines = b, baselines }
}

// rollouts is the part of a keeper that runs orders.
type rollouts struct {
	bounds    roller.Bounds
	baselines bool
	counts    linker.Counts

	mu sync.Mutex
	// watches follow the running orders by service while this host leads.
	watches map[string]*roller.Watch
	// outbox holds the newest counts that wait to be passed on to the leader.
	outbox map[countsKey]*peerv1.ServiceCounts
	// pending is since when each service needs another version in use, and checked when that was checked last.
	pending map[string]time.Time
	checked time.Time
}

type countsKey struct {
	host, service string
}

func newRollouts() *rollouts {
	return &rollouts{
		bounds:  roller.Bounds{Exposure: roller.DefaultExposure, Rollback: roller.DefaultRollback},
		watches: make(map[string]*roller.Watch), outbox: make(map[countsKey]*peerv1.ServiceCounts), pending: make(map[string]time.Time),
	}
}

// LogInvalidOrder logs an order that is unreadable or invalid.
func (k *Keeper) LogInvalidOrder(author string, err error) {
	eventer.RolloutRefused.Log(k.clock(), "author", author, "error", err.Error())
}

// Order orders a version of a service. It returns the rollout once the order is recorded. The newest order that has ended is
// returned unchanged if it names the same version. An order in progress, of this version or another, is roller.ErrRunning.
func (k *Keeper) Order(ctx context.Context, service, version string, duration time.Duration, author string) (*statev1.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	document, err := k.store.Document(ctx)
	if err != nil {
		return nil, wrapUndecided(err)
	}
	if table := k.tableOf(document); table == nil || !table.Names(service) {
		return nil, oops.In("keeper").Wrap(roller.ErrUnknownService)
	}
	for _, r := range k.store.Rollouts() {
		if r.GetService() == service && roller.Running(r) {
			return r, oops.In("keeper").Wrap(roller.ErrRunning)
		}
	}
	result, err := k.store.Order(ctx, &statev1.RolloutOrder{Service: service, Target: version, Duration: durationpb.New(duration), Author: author})
	if err != nil {
		return nil, wrapUndecided(err)
	}
	if !result.GetChanged() && roller.Running(result.GetRollout()) {
		return result.GetRollout(), oops.In("keeper").Wrap(roller.ErrRunning)
	}
	return result.GetRollout(), nil
}

// Rollout returns the newest order for a service.
func (k *Keeper) Rollout(ctx context.Context, service string) (*statev1.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	r, err := k.store.Rollout(ctx, service)
	if err != nil {
		return nil, wrapUndecided(err)
	}
	if r.GetOrder() == 0 {
		return nil, oops.In("keeper").Wrap(roller.ErrUnknownService)
	}
	return r, nil
}

// ReportCounts receives counts of entry hosts, from them or from a control host that passes them on.
func (s *Service) ReportCounts(_ context.Context, in *peerv1.ReportCountsRequest) (*peerv1.ReportCountsResponse, error) {
	s.keeper.receiveCounts(in.GetCounts(), s.keeper.clock())
	return &peerv1.ReportCountsResponse{}, nil
}

// receiveCounts adds counts to the watches on the leader; another host keeps the newest of each entry host to pass them on.
func (k *Keeper) receiveCounts(counts []*peerv1.ServiceCounts, now time.Time) {
	leading := k.log.Status().Leading
	r := k.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counts {
		if leading {
			if w := r.watches[c.GetService()]; w != nil {
				w.Receive(c, now)
			}
			continue
		}
		key := countsKey{host: c.GetHost(), service: c.GetService()}
		if _, known := r.outbox[key]; known || len(r.outbox) < maxOutbox {
			r.outbox[key] = c
		}
	}
}

// RunRollouts decides the steps of running orders while this host leads, and passes counts on to the leader otherwise, until
// ctx ends.
func (k *Keeper) RunRollouts(ctx context.Context) {
	repeater.Every(ctx, rolloutInterval, func() {
		if k.log.Status().Leading {
			k.StepRollouts(ctx)
		} else {
			k.passOnCounts(ctx)
		}
	})
	k.rollouts.counts.Close()
}

// passOnCounts sends the waiting counts to the leader.
func (k *Keeper) passOnCounts(ctx context.Context) {
	r := k.rollouts
	r.stopWatching()
	r.mu.Lock()
	counts := make([]*peerv1.ServiceCounts, 0, len(r.outbox))
	for _, c := range r.outbox {
		counts = append(counts, c)
	}
	clear(r.outbox)
	r.mu.Unlock()
	if !slices.ContainsFunc(k.store.Rollouts(), roller.Running) {
		r.counts.Close()
		return
	}
	leader := k.leaderAddress()
	if len(counts) == 0 || leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	if err := r.counts.Send(ctx, leader, counts); err != nil {
		eventer.CountsFailed.Log(k.clock(), "to", leader, "counts", len(counts), "error", err.Error())
	}
}

// leaderAddress returns the address of the leader for other hosts, or an empty string.
func (k *Keeper) leaderAddress() string {
	status := k.log.Status()
	for _, m := range status.Members.GetReplicas() {
		if m.GetHost() == status.Leader {
			return m.GetAddress()
		}
	}
	return ""
}

// StepRollouts decides and records the next step of each running order. It must be called on the leader.
func (k *Keeper) StepRollouts(ctx context.Context) {
	now, all := k.clock(), k.store.Rollouts()
	if !slices.ContainsFunc(all, roller.Running) && !k.rollouts.baselinesDue(now) {
		k.rollouts.stopWatching()
		return
	}
	leaves := k.roster.Since(0, false).Leaves
	evacuated := k.store.Evacuated()
	hosts := k.reachableEntries(now)
	addresses := make([]string, 0, len(hosts))
	for _, h := range hosts {
		addresses = append(addresses, h.GetAddress())
	}
	table := k.tableOf(k.store.Current())
	var steps []*statev1.RolloutStep
	r := k.rollouts
	r.mu.Lock()
	running := make(map[string]bool)
	for _, rollout := range all {
		if !roller.Running(rollout) {
			continue
		}
		running[rollout.GetService()] = true
		facts := factsOf(rollout, leaves, evacuated, now)
		facts.Time = k.store.Now(now)
		facts.Known, facts.Hosts = table == nil || table.Names(rollout.GetService()), addresses
		if step := r.watch(rollout).Step(facts, now); step != nil {
			steps = append(steps, step)
		}
	}
	for service := range r.watches {
		if !running[service] {
			delete(r.watches, service)
		}
	}
	r.mu.Unlock()
	var group sync.WaitGroup
	for _, step := range steps {
		group.Go(func() { k.recordStep(ctx, step) })
	}
	group.Wait()
	if r.baselinesDue(now) {
		r.checked = now
		k.setBaselines(ctx, table, leaves, now)
	}
}

// baselinesDue reports whether the versions in use are to be checked.
func (r *rollouts) baselinesDue(now time.Time) bool {
	return r.baselines && now.Sub(r.checked) >= baselineInterval
}

// stopWatching forgets the orders that this host has followed.
func (r *rollouts) stopWatching() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.watches)
}

// watch returns the watch of a running order. The caller must hold r.mu.
func (r *rollouts) watch(rollout *statev1.Rollout) *roller.Watch {
	w := r.watches[rollout.GetService()]
	if w == nil || w.Order() != rollout.GetOrder() {
		w = roller.NewWatch(rollout, r.bounds)
		r.watches[rollout.GetService()] = w
	}
	w.Update(rollout)
	return w
}

// factsOf counts the leaves that a rollout may use.
func factsOf(r *statev1.Rollout, leaves []*enroller.Leaf, evacuated []string, now time.Time) roller.Facts {
	var out roller.Facts
	for _, l := range leaves {
		if l.Service != r.GetService() || l.Leaving || slices.Contains(evacuated, l.Center) {
			continue
		}
		switch roller.RoleOf(r, l.Program) {
		case roller.Trial:
			out.Trial++
			if l.ColdUntil.After(now) {
				out.Cold++
			}
		case roller.Stable:
			out.Stable++
		case roller.Idle:
		}
	}
	return out
}

// recordStep records a step. A step that fails is decided anew.
func (k *Keeper) recordStep(ctx context.Context, step *statev1.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	result, err := k.store.Step(ctx, step)
	now := k.clock()
	if err != nil {
		eventer.RolloutStepLost.Log(now, "service", step.GetService(), "state", step.GetState().String(), "share", step.GetShare(), "error", err.Error())
		return
	}
	if !result.GetChanged() {
		return
	}
	event := eventer.RolloutStepped
	if !roller.Running(result.GetRollout()) {
		event = eventer.RolloutEnded
	}
	rollout := result.GetRollout()
	event.Log(now, "service", rollout.GetService(), "target", rollout.GetTarget(), "state", rollout.GetState().String(), "share", rollout.GetShare(),
		"reason", rollout.GetReason(), "seen", rollout.GetSeen(), "exposed", rollout.GetExposed(), "took", now.Sub(rollout.GetBegan().AsTime()))
}

// setBaselines records the version in use of the services that have none, or whose version in use has no leaves any more.
func (k *Keeper) setBaselines(ctx context.Context, table *router.Table, leaves []*enroller.Leaf, now time.Time) {
	if table == nil {
		return
	}
	r := k.rollouts
	known := make(map[string]*statev1.Rollout)
	for _, rollout := range k.store.Rollouts() {
		known[rollout.GetService()] = rollout
	}
	versions := make(map[string]map[string]int)
	for _, l := range leaves {
		if l.Leaving {
			continue
		}
		if versions[l.Service] == nil {
			versions[l.Service] = make(map[string]int)
		}
		versions[l.Service][l.Program]++
	}
	due := &statev1.Baselines{}
	for _, s := range table.Document().Services {
		service := s.Name
		rollout := known[service]
		version, needed := roller.NextBaseline(rollout, versions[service])
		if !needed {
			delete(r.pending, service)
			continue
		}
		since, waiting := r.pending[service]
		if !waiting {
			since = now
			r.pending[service] = now
		}
		if rollout.GetBaseline() == "" || now.Sub(since) >= baselineTimeout {
			due.Baselines = append(due.Baselines, &statev1.Baseline{Service: service, Version: version, Revision: rollout.GetRevision()})
		}
	}
	if len(due.GetBaselines()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	if err := k.store.SetBaselines(ctx, due); err != nil {
		eventer.RolloutStepLost.Log(k.clock(), "baselines", len(due.GetBaselines()), "error", err.Error())
		return
	}
	for _, b := range due.GetBaselines() {
		eventer.BaselineSet.Log(k.clock(), "service", b.GetService(), "version", b.GetVersion(), "before", known[b.GetService()].GetBaseline())
	}
}
