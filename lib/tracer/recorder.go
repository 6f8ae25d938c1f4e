// Package tracer records the events of a query and replays them through the planner.
package tracer

import (
	"io"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Recorder wraps a planner and records a trace of its query.
type Recorder struct {
	env planner.Environment
	// received is when the query arrived, with the clock's monotonic reading.
	received time.Time
	plan     *planner.Planner
	lines    []*statev1.TraceLine
	answers  []*statev1.TraceAnswer
}

// New returns a planner for the query that records a trace.
func New(q planner.Query, env planner.Environment, options ...planner.Option) *Recorder {
	r := &Recorder{env: env, received: q.Received}
	q.Deadline = r.withoutMonotonic(q.Deadline)
	if !q.Target.IsZero() {
		q.Target = r.withoutMonotonic(q.Target)
	}
	q.Received = r.withoutMonotonic(q.Received)
	line := &statev1.TraceQuery{
		Identity: q.Identity, Keyed: q.NonIdempotent, Canary: q.Canary, Alone: q.Exclusive, Least: q.MinCoverage,
		Received: timestamppb.New(q.Received), Deadline: timestamppb.New(q.Deadline), Attempts: uint32(q.Attempts), //nolint:gosec // The number of attempts is small.
	}
	if !q.Target.IsZero() {
		line.Target = timestamppb.New(q.Target)
	}
	r.lines = []*statev1.TraceLine{{Line: &statev1.TraceLine_Query{Query: line}}}
	r.plan = planner.New(q, (*recordingEnvironment)(r), options...)
	return r
}

// Step passes an event to the planner, records it, and returns the planner's actions.
func (r *Recorder) Step(e planner.Event, now time.Time) []planner.Action {
	r.answers = nil
	now = r.withoutMonotonic(now)
	actions := r.plan.Step(e, now)
	event := &statev1.TraceEvent{Time: timestamppb.New(now), Kind: eventKindNames[e.Kind], Answers: r.answers}
	if e.Kind == planner.Returned {
		event.Result = encodeResult(e.Result)
	}
	event.Actions, event.Reply = formatActions(actions)
	r.lines = append(r.lines, &statev1.TraceLine{Line: &statev1.TraceLine_Event{Event: event}})
	return actions
}

// withoutMonotonic returns a wall clock time without monotonic reading that is as far from the query's arrival as t is on
// the monotonic clock. A trace cannot store the monotonic reading, and the two clocks differ by some nanoseconds, with
// which a replay could decide differently.
func (r *Recorder) withoutMonotonic(t time.Time) time.Time {
	return r.received.Round(0).Add(t.Sub(r.received))
}

// Write writes the trace as JSON, one object per line.
func (r *Recorder) Write(w io.Writer) error {
	for _, line := range r.lines {
		data, err := protojson.Marshal(line)
		if err != nil {
			return oops.In("tracer").Wrap(err)
		}
		if _, err := w.Write(append(data, '\n')); err != nil {
			return oops.In("tracer").Wrap(err)
		}
	}
	return nil
}

// recordingEnvironment wraps a planner.Environment and records its answers.
type recordingEnvironment Recorder

func (e *recordingEnvironment) recordAnswer(a *statev1.TraceAnswer) {
	e.answers = append(e.answers, a)
}

// Pin records the snapshot that the wrapped environment returns.
func (e *recordingEnvironment) Pin(above uint64, now time.Time) (*cataloguer.Snapshot, planner.Reason) {
	s, reason := e.env.Pin(above, now)
	e.recordAnswer(&statev1.TraceAnswer{Question: questionPin, Snapshot: encodeSnapshot(s), Reason: reason})
	return s, reason
}

// Choose records the replica that the wrapped environment chooses.
func (e *recordingEnvironment) Choose(shard uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	target, ok := e.env.Choose(shard, holders, tried, now)
	a := &statev1.TraceAnswer{Question: questionChoose, Yes: ok, Owner: target.Owner}
	if ok {
		a.Leaf = target.Leaf.Name
	}
	e.recordAnswer(a)
	return target, ok
}

// Trigger records the age at which calls are hedged.
func (e *recordingEnvironment) Trigger() time.Duration {
	d := e.env.Trigger()
	e.recordAnswer(&statev1.TraceAnswer{Question: questionTrigger, Age: durationpb.New(d)})
	return d
}

// Primary adds to the hedge and retry budgets. It has no result to record.
func (e *recordingEnvironment) Primary(n int) { e.env.Primary(n) }

// Hedge records whether the budget permits a hedge.
func (e *recordingEnvironment) Hedge(shard uint32) bool {
	ok := e.env.Hedge(shard)
	e.recordAnswer(&statev1.TraceAnswer{Question: questionHedge, Yes: ok})
	return ok
}

// Retry records whether the budget permits a retry.
func (e *recordingEnvironment) Retry(shard uint32) bool {
	ok := e.env.Retry(shard)
	e.recordAnswer(&statev1.TraceAnswer{Question: questionRetry, Yes: ok})
	return ok
}

// Identity returns the unique prefix of the query's attempt ids.
func (r *Recorder) Identity() string {
	return r.lines[0].GetQuery().GetIdentity()
}
