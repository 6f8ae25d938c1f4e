package answerer

import (
	"strings"
	"time"

	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Buckets of the latency histogram, from 1 ms to 16 s.
const (
	firstBucket = time.Millisecond
	bucketCount = 15
)

type metrics struct {
	outcomes map[carrier.Outcome]tally.Counter
	calls    map[planner.CallKind]tally.Counter
	failures map[callerv1.Reason]tally.Counter
	latency  tally.Histogram
	// portions counts the portions that this host gathered for divided queries.
	portions tally.Counter
	scope    tally.Scope
}

var callNames = map[planner.CallKind]string{
	planner.Primary: "primary", planner.Hedge: "hedge", planner.Retry: "retry", planner.Resend: "resend",
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		scope:    s,
		outcomes: make(map[carrier.Outcome]tally.Counter), calls: make(map[planner.CallKind]tally.Counter),
		failures: make(map[callerv1.Reason]tally.Counter), portions: s.Counter("portions"),
		latency: s.Histogram("request_duration", tally.MustMakeExponentialDurationBuckets(firstBucket, 2, bucketCount)),
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

func (m *metrics) fail(reason callerv1.Reason) {
	if c, ok := m.failures[reason]; ok {
		c.Inc(1)
	}
}
