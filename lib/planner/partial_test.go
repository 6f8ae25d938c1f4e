package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

const target = 40 * time.Millisecond

// Load: one leaf of many pauses and its hedge is slow too. Guards against a complete answer after the target when a
// partial one with sufficient coverage was ready before it.
func TestEnoughPartsSufficeAtTheTarget(t *testing.T) {
	f := newFake(1, 10, 1).script(lost)
	r := f.run(planner.Query{MinCoverage: 0.89, Target: epoch.Add(target)})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_PARTIAL)
	qt.Assert(t, r.Answered, qt.Equals, uint32(9))
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, target)
	qt.Assert(t, f.cancels, qt.Equals, 1)
}

// Load: leaves of two shards are slow. Guards against an answer below the minimum coverage at the target, and against
// waiting for the last part until the deadline when the target is missed.
func TestMissedTargetGivesTheMissingPartsTheSameTimeAgain(t *testing.T) {
	f := newFake(1, 10, 1).script(lost, slow)
	f.trigger = 0
	r := f.run(planner.Query{MinCoverage: 0.89, Target: epoch.Add(20 * time.Millisecond)})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_PARTIAL)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, target)
}

// Guards against delaying an answer although all its parts have arrived, and against returning one at the target
// without any part.
func TestTargetChangesNothingElse(t *testing.T) {
	f := newFake(1, 3, 1).script()
	r := f.run(planner.Query{Target: epoch.Add(target)})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, 2*time.Millisecond)
	f = newFake(1, 1, 1).script(lost)
	r = f.run(planner.Query{Target: epoch.Add(target)})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.finished.Sub(epoch) > 2*target, qt.IsTrue)
}

// Load: a data centre is cut off from the only leaves of some shards. Guards against delaying the reply although the
// minimum coverage can no longer be reached.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	f := newFake(1, 10, 1).script(lost, failing, good, failing)
	r := f.run(planner.Query{MinCoverage: 0.89, Attempts: 1})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, r.Reason, qt.Equals, callerv1.Reason_REASON_COVERAGE)
	qt.Assert(t, f.finished.Sub(epoch) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%s", f.finished.Sub(epoch)))
}

// Guards against sending a shard's calls to more leaves than the route permits, and against counting a call that never
// reached a leaf as one of them.
func TestAttemptsBoundTheLeavesOfAShard(t *testing.T) {
	f := newFake(1, 1, 5).script(failing, failing, failing, failing)
	f.run(planner.Query{Attempts: 2})
	qt.Assert(t, f.records, qt.HasLen, 2)
	f = newFake(1, 1, 5).script(unsent, failing, failing, failing)
	f.run(planner.Query{Attempts: 2})
	qt.Assert(t, f.records, qt.HasLen, 3)
}
