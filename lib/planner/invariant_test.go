package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/cataloguer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Guards against assertions that never fire: each inconsistent state must report the invariant that it violates.
func TestBrokenStatesAreReported(t *testing.T) {
	for name, breakState := range map[string]func(*Planner, *Reply){
		OneSnapshot: func(p *Planner, _ *Reply) { p.shards[0].bodySnapshot = 6 },
		CoverageTrue: func(_ *Planner, r *Reply) {
			r.Answered = 2
		},
		NotRunTrue: func(p *Planner, r *Reply) {
			p.attempts = []attempt{{reached: true}}
			r.Outcome = callerv1.Outcome_OUTCOME_REFUSED
		},
	} {
		var violated []string
		p := New(Query{}, nil, WithViolation(func(invariant, _ string) { violated = append(violated, invariant) }))
		p.snapshot = &cataloguer.Snapshot{Number: 5, Shards: 1}
		p.shards = []shard{{resolved: true, answered: true, bodySnapshot: 5}}
		r := &Reply{Snapshot: 5, Total: 1, Answered: 1, Parts: []Part{{}}}
		p.checkReply(r)
		qt.Assert(t, violated, qt.HasLen, 0)
		breakState(p, r)
		p.checkReply(r)
		qt.Assert(t, violated, qt.DeepEquals, []string{name})
	}
	var violated []string
	p := New(Query{NonIdempotent: true}, nil, WithViolation(func(invariant, _ string) { violated = append(violated, invariant) }))
	p.attempts = []attempt{{reached: true}}
	p.checkOneAttempt(&Call{})
	p.sendReply(&Reply{})
	p.sendReply(&Reply{})
	qt.Assert(t, violated, qt.DeepEquals, []string{OneAttempt, OneReply})
	qt.Assert(t, func() { New(Query{}, nil).violation(OneReply, "x") }, qt.PanicMatches, "planner: one_reply: x")
}
