package tracer

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/planner"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxLineBytes bounds a line of a trace. A query of 990 shards lists a thousand leaves or more in one line.
const maxLineBytes = 16 << 20

// Outcome is the result of a replay.
type Outcome struct {
	Events int
	// Reply is the planner's reply, or nil when the trace ends before it.
	Reply *statev1.TraceReply
}

// Replay replays a trace through the planner. It fails when the planner's decisions differ from the recorded ones.
func Replay(r io.Reader) (*Outcome, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	p := &replayer{outcome: &Outcome{}, violations: nil}
	for n := 1; scanner.Scan(); n++ {
		line := &statev1.TraceLine{}
		if err := protojson.Unmarshal(scanner.Bytes(), line); err != nil {
			return nil, oops.In("tracer").Wrapf(err, "line %d", n)
		}
		if err := p.replayLine(line); err != nil {
			return nil, oops.In("tracer").Wrapf(err, "line %d", n)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, oops.In("tracer").Wrap(err)
	}
	return p.outcome, nil
}

// replayer runs a planner and is its planner.Environment, which returns the answers recorded in the trace.
type replayer struct {
	plan       *planner.Planner
	leaves     map[string]*cataloguer.Leaf
	answers    []*statev1.TraceAnswer
	violations []string
	outcome    *Outcome
}

func (p *replayer) replayLine(line *statev1.TraceLine) error {
	if q := line.GetQuery(); q != nil {
		p.leaves = make(map[string]*cataloguer.Leaf)
		p.plan = planner.New(planner.Query{
			Identity: q.GetIdentity(), NonIdempotent: q.GetKeyed(), Canary: q.GetCanary(), Exclusive: q.GetAlone(), MinCoverage: q.GetLeast(),
			Received: q.GetReceived().AsTime(), Deadline: q.GetDeadline().AsTime(), Target: targetTime(q), Attempts: int(q.GetAttempts()),
		}, p, planner.WithViolation(func(invariant, text string) { p.violations = append(p.violations, invariant+": "+text) }))
		return nil
	}
	e := line.GetEvent()
	if e == nil || p.plan == nil {
		return oops.Errorf("expected a query followed by events")
	}
	return p.replayEvent(e)
}

func (p *replayer) replayEvent(e *statev1.TraceEvent) error {
	event, err := decodeEvent(e)
	if err != nil {
		return err
	}
	p.answers = e.GetAnswers()
	actions, reply := formatActions(p.plan.Step(event, e.GetTime().AsTime()))
	p.outcome.Events++
	if reply != nil {
		p.outcome.Reply = reply
	}
	switch {
	case len(p.violations) > 0:
		return oops.Errorf("planner invariant violated: %v", p.violations)
	case len(p.answers) > 0:
		return oops.Errorf("the planner did not use %d recorded answers", len(p.answers))
	case !slices.Equal(actions, e.GetActions()):
		return oops.Errorf("the planner decided %q, the trace recorded %q", actions, e.GetActions())
	case !proto.Equal(reply, e.GetReply()):
		return oops.Errorf("the planner replied %v, the trace recorded %v", reply, e.GetReply())
	}
	return nil
}

func decodeEvent(e *statev1.TraceEvent) (planner.Event, error) {
	for kind, name := range eventKindNames {
		if name == e.GetKind() {
			return planner.Event{Kind: kind, Result: decodeResult(e.GetResult())}, nil
		}
	}
	return planner.Event{}, oops.Errorf("unknown event kind %q", e.GetKind())
}

// nextAnswer returns the next recorded answer. If the trace's next answer is to another question, or there is none, a
// violation is recorded.
func (p *replayer) nextAnswer(question string) *statev1.TraceAnswer {
	if len(p.answers) == 0 || p.answers[0].GetQuestion() != question {
		p.violations = append(p.violations, "the trace has no recorded answer to "+question)
		return &statev1.TraceAnswer{}
	}
	a := p.answers[0]
	p.answers = p.answers[1:]
	return a
}

// Pin returns the recorded snapshot.
func (p *replayer) Pin(uint64, time.Time) (*cataloguer.Snapshot, planner.Reason) {
	a := p.nextAnswer(questionPin)
	s := decodeSnapshot(a.GetSnapshot())
	if s != nil {
		for _, l := range slices.Concat(s.Holders...) {
			p.leaves[l.Name] = l
		}
	}
	return s, a.GetReason()
}

// Choose returns the recorded replica.
func (p *replayer) Choose(uint32, []*cataloguer.Leaf, []string, time.Time) (planner.Target, bool) {
	a := p.nextAnswer(questionChoose)
	l, ok := p.leaves[a.GetLeaf()]
	return planner.Target{Leaf: l, Owner: a.GetOwner()}, ok && a.GetYes()
}

// Trigger returns the recorded age at which calls are hedged.
func (p *replayer) Trigger() time.Duration {
	return p.nextAnswer(questionTrigger).GetAge().AsDuration()
}

// Primary does nothing: budget decisions come from the trace.
func (p *replayer) Primary(int) {}

// Hedge returns the recorded budget decision.
func (p *replayer) Hedge(uint32) bool { return p.nextAnswer(questionHedge).GetYes() }

// Retry returns the recorded budget decision.
func (p *replayer) Retry(uint32) bool { return p.nextAnswer(questionRetry).GetYes() }

// targetTime returns the query's target, or the zero time when it had none.
func targetTime(q *statev1.TraceQuery) time.Time {
	if q.GetTarget() == nil {
		return time.Time{}
	}
	return q.GetTarget().AsTime()
}
