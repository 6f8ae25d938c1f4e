package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// script sets the behaviour for the first calls in the order in which they are sent; later calls are good.
func (f *fake) script(script ...behaviour) *fake {
	f.nextBehaviour = func() behaviour {
		if len(script) == 0 {
			return good
		}
		first := script[0]
		script = script[1:]
		return first
	}
	f.latency = func() time.Duration { return 2 * time.Millisecond }
	return f
}

func (f *fake) count(kind planner.CallKind) int {
	n := 0
	for _, r := range f.records {
		if r.call.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against waiting for a straggler when a replica can answer, and against not cancelling the slower call.
func TestStragglerIsHedged(t *testing.T) {
	f := newFake(1, 3, 2).script(good, slow)
	r := f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.count(planner.Hedge), qt.Equals, 1)
	qt.Assert(t, f.cancels, qt.Equals, 1)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, 7*time.Millisecond)
}

// Guards against a slow hedge delaying the reply, and against a third hedge.
func TestSlowHedgeIsHedgedOnce(t *testing.T) {
	f := newFake(1, 1, 4).script(lost, lost, lost)
	r := f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.count(planner.Hedge), qt.Equals, 2)
}

// Guards against hedges without budget, and against never retrying a hedge that was denied once.
func TestHedgeWaitsForBudget(t *testing.T) {
	f := newFake(1, 1, 2).script(lost)
	f.hedges = 0
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.count(planner.Hedge), qt.Equals, 0)
	f = newFake(1, 1, 2).script(lost)
	f.denials = 2
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, 17*time.Millisecond)
}

// Guards against failing a shard while another replica can answer, and against retries without budget.
func TestFailedCallIsRetriedUnderTheBudget(t *testing.T) {
	f := newFake(1, 1, 2).script(failing)
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.count(planner.Retry), qt.Equals, 1)
	f = newFake(1, 1, 2).script(failing)
	f.retries = 0
	r := f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, r.Reason, qt.Equals, callerv1.Reason_REASON_SERVER_ERROR)
}

// Guards against a resend to the wrong owner, and against spending budget on calls that no leaf received.
func TestCallGoesToTheOwnerThatIsNamed(t *testing.T) {
	f := newFake(1, 1, 1).script(notOwner)
	f.retries = 0
	qt.Assert(t, f.run(planner.Query{NonIdempotent: true}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.records[1].call.Target.Owner, qt.Equals, "other")
	qt.Assert(t, f.records[1].call.Kind, qt.Equals, planner.Resend)
}

// Guards against failing a query because its leaves have switched to a snapshot that is announced to this host only
// later, and against waiting for the announcement beyond half of the query's time.
func TestSnapshotThatIsNotKnownYetIsAwaited(t *testing.T) {
	for _, canary := range []bool{false, true} {
		f := newFake(1, 3, 1).script(broken)
		f.addSnapshot(2, 3, 1)
		f.trigger, f.switchAfter, f.announceAfter = 0, time.Nanosecond, 30*time.Millisecond
		q := planner.Query{Canary: canary}
		r := f.run(q)
		qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
		qt.Assert(t, r.Snapshot, qt.Equals, uint64(2))

		f = newFake(1, 3, 1).script(broken)
		f.trigger, f.switchAfter = 0, time.Nanosecond
		r = f.run(q)
		qt.Assert(t, r.Outcome, qt.Equals, map[bool]callerv1.Outcome{false: callerv1.Outcome_OUTCOME_PARTIAL, true: callerv1.Outcome_OUTCOME_FAILED}[canary])
		qt.Assert(t, r.Missing[0].Reason, qt.Equals, callerv1.Reason_REASON_SNAPSHOT_GONE)
		qt.Assert(t, f.finished.Sub(epoch) <= 60*time.Millisecond, qt.IsTrue)
	}
}

// Guards against a reply that mixes snapshots when the leaves switch in the middle of a query, and against a rerun that
// cannot end in time.
func TestSnapshotSwitchHalfWay(t *testing.T) {
	f := newFake(1, 3, 1).script(good, late)
	f.addSnapshot(2, 5, 1)
	f.trigger, f.switchAfter = 0, time.Millisecond
	r := f.run(planner.Query{})
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(1))
	qt.Assert(t, r.Answered, qt.Equals, uint32(2))

	f = newFake(1, 3, 2).script(good, broken, good)
	f.addSnapshot(2, 5, 1)
	f.trigger, f.switchAfter = 0, time.Millisecond
	r = f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(2))
	qt.Assert(t, r.Total, qt.Equals, uint32(5))

	f = newFake(1, 3, 2).script(good, broken, good)
	f.addSnapshot(2, 5, 1)
	f.trigger, f.switchAfter = 0, time.Millisecond
	f.latency = func() time.Duration { return 30 * time.Millisecond }
	r = f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_PARTIAL)
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(1))
	qt.Assert(t, r.Missing, qt.DeepEquals, []planner.Missing{{Shard: 1, Reason: callerv1.Reason_REASON_SNAPSHOT_GONE}})
}

// Guards against a "not run" refusal although a leaf has received the call, and against a failure although none has.
func TestNotRunIsSaidOnlyOfUnsentCalls(t *testing.T) {
	f := newFake(1, 1, 1).script(unsent, unsent, unsent, unsent, unsent, unsent)
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
	f = newFake(1, 1, 1).script(unsent, shed)
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
}

// Guards against running a non-idempotent request twice, and against reporting a lost result as a failure.
func TestRequestWithKeyIsCalledOnce(t *testing.T) {
	for _, c := range []struct {
		fate    behaviour
		outcome callerv1.Outcome
	}{
		{lost, callerv1.Outcome_OUTCOME_UNKNOWN},
		{vanished, callerv1.Outcome_OUTCOME_UNKNOWN},
		{broken, callerv1.Outcome_OUTCOME_UNKNOWN},
		{failing, callerv1.Outcome_OUTCOME_UNKNOWN},
		{crash, callerv1.Outcome_OUTCOME_UNKNOWN},
		{shed, callerv1.Outcome_OUTCOME_FAILED},
		{good, callerv1.Outcome_OUTCOME_WHOLE},
	} {
		f := newFake(1, 1, 3).script(c.fate)
		qt.Assert(t, f.run(planner.Query{NonIdempotent: true}).Outcome, qt.Equals, c.outcome)
		qt.Assert(t, f.records, qt.HasLen, 1)
	}
}

// Guards against sending a request that is not known to be safe to more than one leaf, and against replying to the
// caller before the other hosts are informed of the suspect request.
func TestCanaryGoesFirst(t *testing.T) {
	f := newFake(1, 5, 2).script(crash)
	r := f.run(planner.Query{Canary: true})
	qt.Assert(t, f.records, qt.HasLen, 1)
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, r.Reason, qt.Equals, callerv1.Reason_REASON_CRASHED)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, 5*time.Millisecond)

	f = newFake(1, 5, 2).script(failing)
	r = f.run(planner.Query{Canary: true})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.clears, qt.Equals, 1)
	qt.Assert(t, f.records[2].call.Sent.Sub(epoch), qt.Equals, 4*time.Millisecond)
}

// Guards against failing a query because its canary went to a leaf that does not respond, and against running a suspect
// request on two leaves at once.
func TestCanaryOnSilentLeaf(t *testing.T) {
	f := newFake(1, 3, 3).script(lost)
	qt.Assert(t, f.run(planner.Query{Canary: true}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	f = newFake(1, 3, 4).script(lost, lost)
	f.run(planner.Query{Canary: true})
	qt.Assert(t, f.records, qt.HasLen, 2)
	f = newFake(1, 3, 3).script(lost)
	qt.Assert(t, f.run(planner.Query{Canary: true, Exclusive: true}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.records, qt.HasLen, 1)
	qt.Assert(t, f.records[0].call.Exclusive, qt.IsTrue)
}

// Guards against hedging or retrying a request that crashed a server during its fan-out.
func TestNothingIsRepeatedAfterCrash(t *testing.T) {
	f := newFake(1, 3, 3).script(crash, slow, slow)
	r := f.run(planner.Query{})
	qt.Assert(t, f.records, qt.HasLen, 3)
	qt.Assert(t, r.Answered, qt.Equals, uint32(2))
	qt.Assert(t, r.Missing, qt.DeepEquals, []planner.Missing{{Shard: 0, Reason: callerv1.Reason_REASON_CRASHED}})
	f = newFake(1, 3, 3).script(crash, failing)
	r = f.run(planner.Query{})
	qt.Assert(t, f.records, qt.HasLen, 3)
	qt.Assert(t, r.Answered, qt.Equals, uint32(1))
}

// Guards against a rerun that discards a partial answer for a newer snapshot that is incomplete, and against a second
// canary for a request that has already been answered without a crash.
func TestRerunNeedsCompleteSnapshot(t *testing.T) {
	f := newFake(1, 3, 2).script(good, broken, good)
	f.addSnapshot(2, 5, 1)
	f.leaves[2][4] = nil
	f.trigger, f.switchAfter = 0, time.Millisecond
	r := f.run(planner.Query{})
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(1))
	qt.Assert(t, r.Answered, qt.Equals, uint32(2))

	f = newFake(1, 3, 2).script(good, broken, good)
	f.addSnapshot(2, 5, 1)
	f.trigger, f.switchAfter = 0, 3*time.Millisecond
	r = f.run(planner.Query{Canary: true})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(2))
	qt.Assert(t, f.clears, qt.Equals, 1)
}

// Guards against calls that outlive the query, and against replies that arrive after the caller's deadline.
func TestDeadlineShrinksByHop(t *testing.T) {
	f := newFake(1, 2, 1).script(good, lost)
	f.run(planner.Query{Deadline: epoch.Add(50 * time.Millisecond)})
	qt.Assert(t, f.records[0].call.Timeout, qt.Equals, 48*time.Millisecond)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, 49*time.Millisecond)
	f = newFake(1, 2, 1)
	r := f.run(planner.Query{Deadline: epoch.Add(2 * time.Millisecond)})
	qt.Assert(t, f.records, qt.HasLen, 0)
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
}

// Guards against crossed, late and duplicated replies in an answer, and against classifying mismatched ones as late.
func TestCrossedAndLateRepliesAreDropped(t *testing.T) {
	for _, c := range []struct {
		fate       behaviour
		mismatched bool
	}{{crossedShard, true}, {crossedQuery, true}, {wrongSnapshot, true}, {late, false}} {
		f := newFake(1, 2, 1).script(good, c.fate)
		r := f.run(planner.Query{})
		qt.Assert(t, r.Answered, qt.Equals, uint32(1))
		qt.Assert(t, f.dropped, qt.HasLen, 1)
		qt.Assert(t, f.dropped[0].Mismatched, qt.Equals, c.mismatched)
	}
	f := newFake(1, 2, 1).script(duplicated)
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.drops, qt.Equals, 1)
}

// Guards against a query that continues after its caller has disconnected.
func TestAbandonedQueryCancelsItsCalls(t *testing.T) {
	f := newFake(1, 4, 1)
	p := planner.New(planner.Query{Identity: "host/1/1", Received: epoch, Deadline: epoch.Add(time.Second)}, f)
	f.apply(p.Step(planner.Event{Kind: planner.Start}, epoch))
	f.apply(p.Step(planner.Event{Kind: planner.Abandoned}, epoch))
	qt.Assert(t, f.cancels, qt.Equals, 4)
	qt.Assert(t, f.replies[0].Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.replies[0].Reason, qt.Equals, callerv1.Reason_REASON_CANCELLED)
}
