package answerer

import (
	"strings"
	"time"

	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/selector"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Buckets of the latency histogram, from 1 ms to 16 s.
const (
	firstBucket = time.Millisecond
	bucketCount = 15
)

// costBuckets are the buckets of the expected cost of chosen leaves. An idle leaf of the host's own data centre costs 1; from
// 3 on, calls wait or the leaf is overdue.
var costBuckets = tally.ValueBuckets{0.5, 1, 1.25, 1.5, 2, 2.5, 3, 4, 6, 10, 20}

type metrics struct {
	outcomes map[carrier.Outcome]tally.Counter
	calls    map[planner.CallKind]tally.Counter
	failures map[callerv1.Reason]tally.Counter
	latency  tally.Histogram
	// remoteChoices counts choices of a leaf in another data centre although one in this host's own could have been called,
	// and preferredChoices counts all others. choiceCost is the expected cost of the chosen leaf, in units of the latency
	// of a typical call.
	preferredChoices, remoteChoices tally.Counter
	choiceCost                      tally.Histogram
	// postponedHedges counts hedges that waited because the budget was scarce.
	postponedHedges tally.Counter
	// portions counts the portions that this host gathered for divided queries.
	portions tally.Counter
	scope    tally.Scope
	// trials counts the calls to leaves of a version whose rollout was running.
	trials tally.Counter
}

var callNames = map[planner.CallKind]string{
	planner.Primary: "primary", planner.Hedge: "hedge", planner.Retry: "retry", planner.Resend: "resend",
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		scope:    s,
		outcomes: make(map[carrier.Outcome]tally.Counter), calls: make(map[planner.CallKind]tally.Counter),
		failures: make(map[callerv1.Reason]tally.Counter), portions: s.Counter("portions"), trials: s.Counter("rollout_calls"),
		preferredChoices: s.Tagged(map[string]string{"leaf": "preferred"}).Counter("leaf_choices"),
		remoteChoices:    s.Tagged(map[string]string{"leaf": "remote"}).Counter("leaf_choices"),
		choiceCost:       s.Histogram("leaf_choice_cost", costBuckets),
		postponedHedges:  s.Counter("postponed_hedges"),
		latency:          s.Histogram("request_duration", tally.MustMakeExponentialDurationBuckets(firstBucket, 2, bucketCount)),
	}
	for outcome, name := range outcomeNames {
		m.outcomes[outcome] = s.Tagged(map[string]string{"outcome": name}).Counter("requests")
	}
	for kind, name := range callNames {
		m.calls[kind] = s.Tagged(map[string]string{"kind": name}).Counter("leaf_calls")
	}
	for _, reason := range []callerv1.Reason{reasonOverloaded, reasonLost, reasonServerError, reasonDeadline, reasonNoReplica} {
		name := strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
		m.failures[reason] = s.Tagged(map[string]string{"reason": name}).Counter("leaf_failures")
	}
	return m
}

func (m *metrics) count(outcome carrier.Outcome, took time.Duration) {
	m.outcomes[outcome].Inc(1)
	m.latency.RecordDuration(took)
}

// unauthorized counts a request without a key that the configuration holds.
func (m *metrics) unauthorized(route string) {
	m.scope.Tagged(map[string]string{"route": route}).Counter("unauthorized_requests").Inc(1)
}

// rejected counts a request that was not admitted.
func (m *metrics) rejected(limit, tenant, priority, route string) {
	m.scope.Tagged(map[string]string{"limit": limit, "tenant": tenant, "priority": priority, "route": route}).Counter("rejected_requests").Inc(1)
}

func (m *metrics) call(kind planner.CallKind) {
	m.calls[kind].Inc(1)
}

func (m *metrics) choice(d *selector.Decision) {
	m.choiceCost.RecordValue(d.Cost)
	if d.Remote {
		m.remoteChoices.Inc(1)
		return
	}
	m.preferredChoices.Inc(1)
}

func (m *metrics) fail(reason callerv1.Reason) {
	if c, ok := m.failures[reason]; ok {
		c.Inc(1)
	}
}
