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

// maxLine bounds a line of a trace, in bytes; a query of 990 shards names some thousand leaves in one line.
const maxLine = 16 << 20

// Outcome is what a replay showed.
type Outcome struct {
	Events int
	// Reply is the reply that the planner gave, nil when the trace ends before it.
	Reply *statev1.TraceReply
}

// Replay plays a trace through the planner. It fails when the planner decides otherwise than the trace states.
func Replay(r io.Reader) (*Outcome, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	p := &replay{outcome: &Outcome{}, violations: nil}
	for n := 1; scanner.Scan(); n++ {
		line := &statev1.TraceLine{}
		if err := protojson.Unmarshal(scanner.Bytes(), line); err != nil {
			return nil, oops.In("tracer").Wrapf(err, "line %d", n)
		}
		if err := p.line(line); err != nil {
			return nil, oops.In("tracer").Wrapf(err, "line %d", n)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, oops.In("tracer").Wrap(err)
	}
	return p.outcome, nil
}

// replay is a planner whose world gives the answers of a trace.
type replay struct {
	plan       *planner.Planner
	leaves     map[string]*cataloguer.Leaf
	answers    []*statev1.TraceAnswer
	violations []string
	outcome    *Outcome
}

func (p *replay) line(line *statev1.TraceLine) error {
	if q := line.GetQuery(); q != nil {
		p.leaves = make(map[string]*cataloguer.Leaf)
		p.plan = planner.New(planner.Query{
			Identity: q.GetIdentity(), Keyed: q.GetKeyed(), Canary: q.GetCanary(), Alone: q.GetAlone(), Least: q.GetLeast(),
			Received: q.GetReceived().AsTime(), Deadline: q.GetDeadline().AsTime(), Target: target(q), Attempts: int(q.GetAttempts()),
		}, p, planner.WithViolation(func(invariant, text string) { p.violations = append(p.violations, invariant+": "+text) }))
		return nil
	}
	e := line.GetEvent()
	if e == nil || p.plan == nil {
		return oops.Errorf("a trace begins with its query and goes on with events")
	}
	return p.event(e)
}

func (p *replay) event(e *statev1.TraceEvent) error {
	event, err := decodeEvent(e)
	if err != nil {
		return err
	}
	p.answers = e.GetAnswers()
	actions, reply := describe(p.plan.Step(event, e.GetTime().AsTime()))
	p.outcome.Events++
	if reply != nil {
		p.outcome.Reply = reply
	}
	switch {
	case len(p.violations) > 0:
		return oops.Errorf("broken invariant: %v", p.violations)
	case len(p.answers) > 0:
		return oops.Errorf("the planner did not ask for %d recorded answers", len(p.answers))
	case !slices.Equal(actions, e.GetActions()):
		return oops.Errorf("the planner decided %q, the trace states %q", actions, e.GetActions())
	case !proto.Equal(reply, e.GetReply()):
		return oops.Errorf("the planner replied %v, the trace states %v", reply, e.GetReply())
	}
	return nil
}

func decodeEvent(e *statev1.TraceEvent) (planner.Event, error) {
	for kind, name := range kinds {
		if name == e.GetKind() {
			return planner.Event{Kind: kind, Result: decodeResult(e.GetResult())}, nil
		}
	}
	return planner.Event{}, oops.Errorf("no event is named %q", e.GetKind())
}

// take returns the next recorded answer; a question that the trace does not have is a violation.
func (p *replay) take(question string) *statev1.TraceAnswer {
	if len(p.answers) == 0 || p.answers[0].GetQuestion() != question {
		p.violations = append(p.violations, "the trace has no answer to "+question)
		return &statev1.TraceAnswer{}
	}
	a := p.answers[0]
	p.answers = p.answers[1:]
	return a
}

// Pin returns the recorded snapshot.
func (p *replay) Pin(uint64, time.Time) (*cataloguer.Snapshot, planner.Reason) {
	a := p.take(askPin)
	s := decodeSnapshot(a.GetSnapshot())
	if s != nil {
		for _, l := range slices.Concat(s.Holders...) {
			p.leaves[l.Name] = l
		}
	}
	return s, a.GetReason()
}

// Choose returns the recorded replica.
func (p *replay) Choose(uint32, []*cataloguer.Leaf, []string, time.Time) (planner.Target, bool) {
	a := p.take(askChoose)
	l, ok := p.leaves[a.GetLeaf()]
	return planner.Target{Leaf: l, Owner: a.GetOwner()}, ok && a.GetYes()
}

// Trigger returns the recorded age.
func (p *replay) Trigger() time.Duration { return p.take(askTrigger).GetAge().AsDuration() }

// Primary earns budget, which a replay does not need.
func (p *replay) Primary(int) {}

// Hedge returns the recorded answer.
func (p *replay) Hedge(uint32) bool { return p.take(askHedge).GetYes() }

// Retry returns the recorded answer.
func (p *replay) Retry(uint32) bool { return p.take(askRetry).GetYes() }

// target returns the zero time when the query had no target.
func target(q *statev1.TraceQuery) time.Time {
	if q.GetTarget() == nil {
		return time.Time{}
	}
	return q.GetTarget().AsTime()
}
