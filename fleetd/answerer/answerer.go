// Package answerer answers callers' requests: it finds the route, calls the leaves as the request's planner directs,
// and returns exactly one reply.
package answerer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/fleetd/follower"
	"lycheelift.example/fleetd/gauger"
	"lycheelift.example/lib/budgeter"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/divider"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/estimator"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
	"lycheelift.example/lib/selector"
)

// Caller calls leaves.
type Caller interface {
	Do(ctx context.Context, c *carrier.Call) (*carrier.Answer, error)
}

// SuspectTracker tracks requests that are suspected of crashing the leaves that execute them.
type SuspectTracker interface {
	// Blocked returns how long a request must still be refused, or 0 if it may be executed.
	Blocked(r *carrier.Request, now time.Time) time.Duration
	// Begin returns how long a request must wait because another request like it is suspected and running. It returns 0 and a
	// function if the request is suspected and may run: it must reach one leaf at most, and the function must be called when it
	// has ended and was reported. It returns 0 and nil if the request is not suspected. No request ends later than its deadline.
	Begin(ctx context.Context, r *carrier.Request, deadline, now time.Time) (end func(now time.Time), wait time.Duration)
	// ReportLost records that the leaves that received a request closed their connections without an answer, and that no
	// leaf answered it. The returned channel is closed when other hosts have been told, or cannot be.
	ReportLost(r *carrier.Request, now time.Time) (told <-chan struct{})
	// ReportAnswered records that a leaf has answered a request.
	ReportAnswered(r *carrier.Request, now time.Time)
}

// noSuspects is the SuspectTracker that blocks no request.
type noSuspects struct{}

func (noSuspects) Blocked(*carrier.Request, time.Time) time.Duration { return 0 }
func (noSuspects) Begin(context.Context, *carrier.Request, time.Time, time.Time) (func(time.Time), time.Duration) {
	return nil, 0
}

func (noSuspects) ReportLost(*carrier.Request, time.Time) <-chan struct{} {
	told := make(chan struct{})
	close(told)
	return told
}
func (noSuspects) ReportAnswered(*carrier.Request, time.Time) {}

// Viewer provides the configuration in force and the known leaves.
type Viewer interface {
	View() *follower.View
}

const (
	// hedgePercentile is the share of a route's calls, in thousandths, that is not hedged. A leaf is paused for 4% of
	// the time, so hedging above the 93rd percentile covers all pauses.
	hedgePercentile = 930
	// estimateWindow and estimateRefresh are numbers of calls: at 100 calls a second, a host adapts to a change of
	// latency within seconds.
	estimateWindow  = 1024
	estimateRefresh = 32
	// retryWait is the retry delay sent to a refused caller: a leaf that sheds load has capacity again after a few
	// calls.
	retryWait = 100 * time.Millisecond
	// evaluationInterval is the minimum time between two checks whether this host is cut off.
	evaluationInterval = 100 * time.Millisecond
	// isolationTime is how long the followed control host must have reported that it hears from no other data centre.
	isolationTime = 300 * time.Millisecond
	// remoteAnswerMargin is subtracted from the time at which the control host first reported its isolation. By then it
	// had heard nothing for a second, where messages normally arrive every 400 ms: an answer received after the
	// resulting time shows that the data centre is not cut off.
	remoteAnswerMargin = 400 * time.Millisecond
	// startWait is the retry delay sent to a caller while this host lacks information: after a loss of all hosts, the
	// control hosts need about a second to recover.
	startWait = 500 * time.Millisecond
)

// Answerer answers requests on one entry host. It is safe for concurrent use.
type Answerer struct {
	host   string
	center string
	viewer Viewer
	caller Caller
	clock  func() time.Time
	bounds Bounds

	sequence atomic.Uint64
	selector *selector.Table
	estimate *estimator.Estimator
	budget   *budgeter.Window
	random   func() float64
	metrics  *metrics
	gauge    *gauger.Gauger
	suspects SuspectTracker
	// tally counts the calls to services with a rollout.
	tally *roller.Tally
	// quotas permits requests of tenants that have a quota; nil if none is kept.
	quotas QuotaKeeper
	// stopSchedule returns the schedule of this host's graceful stop, nil while it is not stopping.
	stopSchedule func() *drainer.Schedule
	// confirmed reports whether the view that is taken next may be relied on for keys.
	confirmed    func() bool
	unauthorized unauthorizedCounts
	// admission is nil without admission control.
	admission *admission
	cutOff    atomic.Bool
	// helper has portions of at most portionSize shards gathered by the hosts that divider chooses. It is nil if queries
	// are not divided.
	helper      Helper
	portionSize int
	divider     *divider.Table
	preview     Preview
	// self is this host's own address among the entry hosts.
	self string
	// hosts is the number of entry hosts by which limits are divided.
	hostsMu sync.Mutex
	hosts   selector.HostCount
	// lastEvaluation is the Unix time in nanoseconds at which the evidence was last evaluated.
	lastEvaluation atomic.Int64
}

// Bounds are limits that apply to all entry hosts together.
type Bounds struct {
	// Ratio is the permitted number of extra calls to a service per request, and Slack the number permitted regardless
	// of requests, in any Window.
	Ratio, Slack float64
	Window       time.Duration
	// Cold and ColdSlack limit the requests per second to a cold leaf: its configured rate times Cold, plus ColdSlack.
	Cold, ColdSlack float64
}

// Option configures an Answerer.
type Option func(*Answerer)

// WithScope sets the scope in which metrics are reported.
func WithScope(s tally.Scope) Option {
	return func(a *Answerer) { a.metrics = newMetrics(s) }
}

// WithRandom sets the source of random numbers in the range [0, 1).
func WithRandom(random func() float64) Option {
	return func(a *Answerer) { a.random = random }
}

// WithSuspects sets the tracker of requests that are suspected of crashing leaves.
func WithSuspects(s SuspectTracker) Option {
	return func(a *Answerer) { a.suspects = s }
}

// WithTally sets the tally of calls to services with a rollout.
func WithTally(t *roller.Tally) Option {
	return func(a *Answerer) { a.tally = t }
}

// WithStopSchedule sets the function that returns the schedule of this host's graceful stop, nil while it is not stopping.
func WithStopSchedule(schedule func() *drainer.Schedule) Option {
	return func(a *Answerer) { a.stopSchedule = schedule }
}

// budgetShare keeps the extra calls below their bound, because the clocks and counts of other hosts may differ.
const budgetShare = 0.9

// New returns the answerer of a host.
func New(host, center string, viewer Viewer, caller Caller, bounds Bounds, clock func() time.Time, options ...Option) *Answerer {
	a := &Answerer{
		host: host, center: center, viewer: viewer, caller: caller, clock: clock, bounds: bounds,
		selector: selector.New(),
		estimate: estimator.New(estimator.WithPermille(hedgePercentile), estimator.WithWindow(estimateWindow, estimateRefresh)),
		budget:   budgeter.NewWindow(bounds.Window, budgetShare*bounds.Ratio),
		random:   rand.Float64, metrics: newMetrics(tally.NoopScope), gauge: gauger.New(),
		suspects: noSuspects{}, confirmed: func() bool { return true }, tally: roller.NewTally(host, 0), stopSchedule: func() *drainer.Schedule { return nil },
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// CutOff reports whether this host should receive no new connections, because it is cut off and cannot answer its
// requests.
func (a *Answerer) CutOff(now time.Time) bool {
	last := a.lastEvaluation.Load()
	if now.UnixNano()-last < int64(evaluationInterval) || !a.lastEvaluation.CompareAndSwap(last, now.UnixNano()) {
		return a.cutOff.Load()
	}
	view := a.viewer.View()
	evidence := a.evidence(view, now)
	cutOff := a.gauge.CutOff(evidence, now)
	if a.cutOff.Swap(cutOff) != cutOff {
		event := eventer.HostNoLongerCutOff
		if cutOff {
			event = eventer.HostCutOff
		}
		event.Log(now, "host", a.host, "stale", evidence.Stale, "reached", evidence.Reached, "lost", evidence.Lost,
			"alone", evidence.ControlIsolated, "short", evidence.CoverageInsufficient, "answered", evidence.RemoteAnswered)
	}
	return cutOff
}

// evidence collects what this host knows about its connectivity.
func (a *Answerer) evidence(view *follower.View, now time.Time) gauger.Evidence {
	var reach selector.Reach
	for _, leaves := range view.Holders {
		a.selector.AddReachability(&reach, leaves, a.center, now)
	}
	out := gauger.Evidence{Stale: view.Age(now), Reached: reach.Reached, Lost: reach.Unreachable, ControlIsolated: view.IsIsolated(isolationTime, now)}
	if out.ControlIsolated {
		out.CoverageInsufficient = a.coverageInsufficient(view)
		out.RemoteAnswered = a.lastRemoteAnswer(view, reach.Answered).After(view.IsolatedSince.Add(-remoteAnswerMargin))
	}
	return out
}

// lastRemoteAnswer returns when a leaf or an entry host of another data centre last answered. Leaf is the latest
// answer of a leaf.
func (a *Answerer) lastRemoteAnswer(view *follower.View, leaf time.Time) time.Time {
	if a.divider == nil {
		return leaf
	}
	latest := leaf
	for center, hosts := range view.Helpers {
		if center == a.center {
			continue
		}
		if at := a.divider.LastAnswered(hosts); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// coverageInsufficient reports whether the leaves of this host's data centre are too few for the least coverage of
// some route.
func (a *Answerer) coverageInsufficient(view *follower.View) bool {
	if view.Table == nil {
		return false
	}
	routes := view.Table.Document().Routes
	return slices.ContainsFunc(routes, func(r router.Route) bool { return a.lacksCoverage(view, &r) })
}

// lacksCoverage reports whether the leaves of this host's data centre are too few for a route's least coverage.
func (a *Answerer) lacksCoverage(view *follower.View, r *router.Route) bool {
	covered := 0
	for _, service := range r.Gather {
		if slices.ContainsFunc(view.Holders[service], func(l *cataloguer.Leaf) bool { return l.Center == a.center }) {
			covered++
		}
	}
	return float64(covered) < r.MinCoverage*float64(len(r.Gather))
}

// Answer answers one request. The context ends when the caller no longer waits for the reply.
func (a *Answerer) Answer(ctx context.Context, r *carrier.Request) *carrier.Reply {
	// The confirmation is checked before the view is taken: a process that is frozen in between then uses a view that is at
	// least as new as the confirmed one.
	confirmed := a.confirmed()
	view := a.viewer.View()
	q := &query{answerer: a, request: r, view: view, confirmed: confirmed}
	reply := q.answer(ctx)
	q.returnToken(reply)
	a.recordOutcome(q, reply)
	return reply
}

// recordOutcome counts and logs the outcome of a request.
func (a *Answerer) recordOutcome(q *query, reply *carrier.Reply) {
	now := a.clock()
	took := now.Sub(q.request.Received)
	a.metrics.count(reply.Outcome, took)
	a.gauge.Record(q.unreachable, now)
	event := eventer.RequestEnded
	if reply.Outcome != carrier.Answered && reply.Outcome != carrier.Gathered {
		event = eventer.RequestFailed
	}
	pairs := []any{
		"id", q.request.ID, "route", q.routeName(), "outcome", outcomeNames[reply.Outcome], "reason", reply.Reason,
		"took", took, "version", q.view.Version(), "missing", reply.Missing, "calls", q.calls, "hedges", q.hedges, "retries", q.retries,
		"stale", q.view.Age(now),
	}
	if q.tenant != nil {
		pairs = append(pairs, "tenant", q.tenant.Name, "priority", q.priority())
	}
	event.Log(now, pairs...)
	if reply.Outcome == carrier.Unauthorized {
		a.unauthorized.add(q.routeName())
		a.metrics.unauthorized(q.routeName())
	}
}

var outcomeNames = map[carrier.Outcome]string{
	carrier.Answered: "answered", carrier.Gathered: "gathered", carrier.Refused: "refused", carrier.Unrouted: "unrouted",
	carrier.Failed: "failed", carrier.TimedOut: "timedout", carrier.Abandoned: "abandoned", carrier.Unauthorized: "unauthorized",
	carrier.OverQuota: "overquota",
}
