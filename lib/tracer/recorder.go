// Package tracer records the events of a query and plays them back through the planner.
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

// Recorder is a planner that keeps a trace of its query.
type Recorder struct {
	world planner.World
	// received is the query's arrival as the clock gave it.
	received time.Time
	plan     *planner.Planner
	lines    []*statev1.TraceLine
	answers  []*statev1.TraceAnswer
}

// New returns a recording planner.
func New(q planner.Query, world planner.World, options ...planner.Option) *Recorder {
	r := &Recorder{world: world, received: q.Received}
	q.Deadline = r.wall(q.Deadline)
	if !q.Target.IsZero() {
		q.Target = r.wall(q.Target)
	}
	q.Received = r.wall(q.Received)
	line := &statev1.TraceQuery{
		Identity: q.Identity, Keyed: q.Keyed, Canary: q.Canary, Alone: q.Alone, Least: q.Least,
		Received: timestamppb.New(q.Received), Deadline: timestamppb.New(q.Deadline), Attempts: uint32(q.Attempts), //nolint:gosec // A small number.
	}
	if !q.Target.IsZero() {
		line.Target = timestamppb.New(q.Target)
	}
	r.lines = []*statev1.TraceLine{{Line: &statev1.TraceLine_Query{Query: line}}}
	r.plan = planner.New(q, (*recordingWorld)(r), options...)
	return r
}

// Step takes an event and returns what is to be done.
func (r *Recorder) Step(e planner.Event, now time.Time) []planner.Action {
	r.answers = nil
	now = r.wall(now)
	actions := r.plan.Step(e, now)
	event := &statev1.TraceEvent{Time: timestamppb.New(now), Kind: kinds[e.Kind], Answers: r.answers}
	if e.Kind == planner.Returned {
		event.Result = encodeResult(e.Result)
	}
	event.Actions, event.Reply = describe(actions)
	r.lines = append(r.lines, &statev1.TraceLine{Line: &statev1.TraceLine_Event{Event: event}})
	return actions
}

// wall returns a time without its monotonic reading, at the same distance from the query's arrival. A trace cannot keep
// the monotonic reading, and the two clocks differ by some nanoseconds, which would show as other decisions.
func (r *Recorder) wall(t time.Time) time.Time {
	return r.received.Round(0).Add(t.Sub(r.received))
}

// Write writes the trace, one JSON object a line.
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

// recordingWorld notes each answer of the world that it wraps.
type recordingWorld Recorder

func (w *recordingWorld) note(a *statev1.TraceAnswer) {
	w.answers = append(w.answers, a)
}

// Pin asks for a snapshot.
func (w *recordingWorld) Pin(above uint64, now time.Time) (*cataloguer.Snapshot, planner.Reason) {
	s, reason := w.world.Pin(above, now)
	w.note(&statev1.TraceAnswer{Question: askPin, Snapshot: encodeSnapshot(s), Reason: reason})
	return s, reason
}

// Choose asks for a replica.
func (w *recordingWorld) Choose(shard uint32, holders []*cataloguer.Leaf, tried []string, now time.Time) (planner.Target, bool) {
	target, ok := w.world.Choose(shard, holders, tried, now)
	a := &statev1.TraceAnswer{Question: askChoose, Yes: ok, Owner: target.Owner}
	if ok {
		a.Leaf = target.Leaf.Name
	}
	w.note(a)
	return target, ok
}

// Trigger asks for the age at which calls are hedged.
func (w *recordingWorld) Trigger() time.Duration {
	d := w.world.Trigger()
	w.note(&statev1.TraceAnswer{Question: askTrigger, Age: durationpb.New(d)})
	return d
}

// Primary earns budget.
func (w *recordingWorld) Primary(n int) { w.world.Primary(n) }

// Hedge asks for the budget of a hedge.
func (w *recordingWorld) Hedge(shard uint32) bool {
	ok := w.world.Hedge(shard)
	w.note(&statev1.TraceAnswer{Question: askHedge, Yes: ok})
	return ok
}

// Retry asks for the budget of a retry.
func (w *recordingWorld) Retry(shard uint32) bool {
	ok := w.world.Retry(shard)
	w.note(&statev1.TraceAnswer{Question: askRetry, Yes: ok})
	return ok
}

// Identity returns the unique prefix of the query's attempts.
func (r *Recorder) Identity() string {
	return r.lines[0].GetQuery().GetIdentity()
}
