package acceptor

import (
	"strings"
	"time"

	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// The buckets of the latency histogram range from 0.5 ms to 16 s.
const (
	firstBucket = 500 * time.Microsecond
	bucketCount = 16
)

// metrics holds the metrics of the query path.
type metrics struct {
	outcomes   map[callerv1.Outcome]tally.Counter
	calls      map[planner.CallKind]tally.Counter
	latency    tally.Histogram
	mismatched tally.Counter
	late       tally.Counter
	violations tally.Counter
}

var callNames = map[planner.CallKind]string{
	planner.Primary: "primary", planner.Hedge: "hedge", planner.Retry: "retry", planner.Resend: "resend",
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		outcomes:   make(map[callerv1.Outcome]tally.Counter),
		calls:      make(map[planner.CallKind]tally.Counter),
		latency:    s.Histogram("query_duration", tally.MustMakeExponentialDurationBuckets(firstBucket, 2, bucketCount)),
		mismatched: s.Counter("replies_crossed"),
		late:       s.Counter("replies_late"),
		violations: s.Counter("invariants_broken"),
	}
	for number, name := range callerv1.Outcome_name {
		label := strings.ToLower(strings.TrimPrefix(name, "OUTCOME_"))
		m.outcomes[callerv1.Outcome(number)] = s.Tagged(map[string]string{"outcome": label}).Counter("queries")
	}
	for kind, name := range callNames {
		m.calls[kind] = s.Tagged(map[string]string{"kind": name}).Counter("leaf_calls")
	}
	return m
}

// count records the outcome and the latency of a query.
func (m *metrics) count(out *callerv1.QueryResponse, refused *refusal, took time.Duration) {
	outcome := out.GetOutcome()
	if refused != nil {
		outcome = refused.outcome
	}
	m.outcomes[outcome].Inc(1)
	m.latency.RecordDuration(took)
}
