package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// script gives the fates of the calls in the order in which they are sent, then good ones.
func (f *fake) script(fates ...fate) *fake {
	f.fates = func() fate {
		if len(fates) == 0 {
			return good
		}
		next := fates[0]
		fates = fates[1:]
		return next
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

// Guards against waiting for a straggler when a replica can answer, and against leaving the loser running.
func TestStragglerIsHedged(t *testing.T) {
	f := newFake(1, 3, 2).script(good, slow)
	r := f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.count(planner.Hedge), qt.Equals, 1)
	qt.Assert(t, f.cancels, qt.Equals, 1)
	qt.Assert(t, f.finished.Sub(epoch), qt.Equals, 7*time.Millisecond)
}

// Guards against a hedge that is slow itself holding up the reply, and against a third hedge.
func TestSlowHedgeIsHedgedOnce(t *testing.T) {
	f := newFake(1, 1, 4).script(lost, lost, lost)
	r := f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.count(planner.Hedge), qt.Equals, 2)
}

// Guards against hedges without budget, and against giving up on a hedge that was denied once.
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

// Guards against giving up on a shard while another replica can answer, and against retries without budget.
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

// Guards against a resend to a wrong owner, and against budget spent on calls that no leaf received.
func TestCallGoesToTheOwnerThatIsNamed(t *testing.T) {
	f := newFake(1, 1, 1).script(notOwner)
	f.retries = 0
	qt.Assert(t, f.run(planner.Query{Keyed: true}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, f.records[1].call.Target.Owner, qt.Equals, "other")
	qt.Assert(t, f.records[1].call.Kind, qt.Equals, planner.Resend)
}

// Guards against a query that fails because its leaves have moved to a snapshot that this host hears of only later,
// and against one that waits for it beyond half of its time.
func TestSnapshotThatIsNotKnownYetIsAwaited(t *testing.T) {
	for _, canary := range []bool{false, true} {
		f := newFake(1, 3, 1).script(broken)
		f.hold(2, 3, 1)
		f.trigger, f.switchy, f.learned = 0, time.Nanosecond, 30*time.Millisecond
		q := planner.Query{Canary: canary}
		r := f.run(q)
		qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
		qt.Assert(t, r.Snapshot, qt.Equals, uint64(2))

		f = newFake(1, 3, 1).script(broken)
		f.trigger, f.switchy = 0, time.Nanosecond
		r = f.run(q)
		qt.Assert(t, r.Outcome, qt.Equals, map[bool]callerv1.Outcome{false: callerv1.Outcome_OUTCOME_PARTIAL, true: callerv1.Outcome_OUTCOME_FAILED}[canary])
		qt.Assert(t, r.Missing[0].Reason, qt.Equals, callerv1.Reason_REASON_SNAPSHOT_GONE)
		qt.Assert(t, f.finished.Sub(epoch) <= 60*time.Millisecond, qt.IsTrue)
	}
}

// Guards against a reply that mixes snapshots when the leaves switch half way, and against a rerun that cannot end
// in time.
func TestSnapshotSwitchHalfWay(t *testing.T) {
	f := newFake(1, 3, 1).script(good, late)
	f.hold(2, 5, 1)
	f.trigger, f.switchy = 0, time.Millisecond
	r := f.run(planner.Query{})
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(1))
	qt.Assert(t, r.Answered, qt.Equals, uint32(2))

	f = newFake(1, 3, 2).script(good, broken, good)
	f.hold(2, 5, 1)
	f.trigger, f.switchy = 0, time.Millisecond
	r = f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(2))
	qt.Assert(t, r.Total, qt.Equals, uint32(5))

	f = newFake(1, 3, 2).script(good, broken, good)
	f.hold(2, 5, 1)
	f.trigger, f.switchy = 0, time.Millisecond
	f.latency = func() time.Duration { return 30 * time.Millisecond }
	r = f.run(planner.Query{})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_PARTIAL)
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(1))
	qt.Assert(t, r.Missing, qt.DeepEquals, []planner.Missing{{Shard: 1, Reason: callerv1.Reason_REASON_SNAPSHOT_GONE}})
}

// Guards against a refusal that says "not run" although a leaf has the call, and the reverse.
func TestNotRunIsSaidOnlyOfUnsentCalls(t *testing.T) {
	f := newFake(1, 1, 1).script(unsent, unsent, unsent, unsent, unsent, unsent)
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
	f = newFake(1, 1, 1).script(unsent, shed)
	qt.Assert(t, f.run(planner.Query{}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
}

// Guards against a second run of a request with a key, and against a lost result that is called a failure.
func TestRequestWithKeyIsCalledOnce(t *testing.T) {
	for _, c := range []struct {
		fate    fate
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
		qt.Assert(t, f.run(planner.Query{Keyed: true}).Outcome, qt.Equals, c.outcome)
		qt.Assert(t, f.records, qt.HasLen, 1)
	}
}

// Guards against sending a request that is not known to be good to more than one leaf, and against the caller's error
// leaving before the other hosts know of the suspect.
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

// Guards against a query that is lost because its canary met a silent leaf, and against a suspect on two leaves at once.
func TestCanaryOnSilentLeaf(t *testing.T) {
	f := newFake(1, 3, 3).script(lost)
	qt.Assert(t, f.run(planner.Query{Canary: true}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	f = newFake(1, 3, 4).script(lost, lost)
	f.run(planner.Query{Canary: true})
	qt.Assert(t, f.records, qt.HasLen, 2)
	f = newFake(1, 3, 3).script(lost)
	qt.Assert(t, f.run(planner.Query{Canary: true, Alone: true}).Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.records, qt.HasLen, 1)
	qt.Assert(t, f.records[0].call.Alone, qt.IsTrue)
}

// Guards against further calls of a request that crashed a server during its fan-out.
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

// Guards against a rerun that gives up a partial answer for a newer snapshot that is not complete, and against a second
// canary of a request that was answered without harm.
func TestRerunNeedsCompleteSnapshot(t *testing.T) {
	f := newFake(1, 3, 2).script(good, broken, good)
	f.hold(2, 5, 1)
	f.leaves[2][4] = nil
	f.trigger, f.switchy = 0, time.Millisecond
	r := f.run(planner.Query{})
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(1))
	qt.Assert(t, r.Answered, qt.Equals, uint32(2))

	f = newFake(1, 3, 2).script(good, broken, good)
	f.hold(2, 5, 1)
	f.trigger, f.switchy = 0, 3*time.Millisecond
	r = f.run(planner.Query{Canary: true})
	qt.Assert(t, r.Outcome, qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	qt.Assert(t, r.Snapshot, qt.Equals, uint64(2))
	qt.Assert(t, f.clears, qt.Equals, 1)
}

// Guards against calls that outlive the query and replies that come after the caller has gone.
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

// Guards against crossed, late and duplicated replies in an answer, and against their not being told apart.
func TestCrossedAndLateRepliesAreDropped(t *testing.T) {
	for _, c := range []struct {
		fate       fate
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

// Guards against a query that goes on after its caller has gone.
func TestAbandonedQueryCancelsItsCalls(t *testing.T) {
	f := newFake(1, 4, 1)
	p := planner.New(planner.Query{Identity: "host/1/1", Received: epoch, Deadline: epoch.Add(time.Second)}, f)
	f.apply(p.Step(planner.Event{Kind: planner.Start}, epoch))
	f.apply(p.Step(planner.Event{Kind: planner.Abandoned}, epoch))
	qt.Assert(t, f.cancels, qt.Equals, 4)
	qt.Assert(t, f.replies[0].Outcome, qt.Equals, callerv1.Outcome_OUTCOME_FAILED)
	qt.Assert(t, f.replies[0].Reason, qt.Equals, callerv1.Reason_REASON_CANCELLED)
}
