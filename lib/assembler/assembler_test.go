package assembler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/assembler"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// newFourPortions returns an assembler for four portions of nine shards each. One shard of the 36 may be missing.
func newFourPortions() *assembler.Assembler {
	return assembler.New(assembler.Query{
		Sizes: []int{9, 9, 9, 9}, MinCoverage: 0.95, Received: start, Target: at(70), Deadline: at(800),
	})
}

// Guards against delaying an answer until the target although every portion is complete.
func TestCompleteAnswerIsGivenAtOnce(t *testing.T) {
	a := newFourPortions()
	for i := range 4 {
		qt.Assert(t, a.Done(at(20)), qt.IsFalse)
		a.Update(i, 9, true)
	}
	qt.Assert(t, a.Done(at(20)), qt.IsTrue)
	qt.Assert(t, a.Received(), qt.Equals, 36)
}

// Load: a pause on one leaf of many. Guards against a late answer because one part of 36 is missing.
func TestTargetEndsTheWaitForOnePart(t *testing.T) {
	a := newFourPortions()
	for i := range 3 {
		a.Update(i, 9, true)
	}
	a.Update(3, 8, false)
	qt.Assert(t, a.Done(at(69)), qt.IsFalse)
	qt.Assert(t, a.Next(at(69)), qt.Equals, at(70))
	qt.Assert(t, a.Done(at(70)), qt.IsTrue)
	qt.Assert(t, a.Sufficient(), qt.IsTrue)
}

// Load: leaves of many shards are slow. Guards against an answer below the minimum coverage, and against one that lacks
// parts that arrive soon after the target.
func TestTooFewPartsAtTheTargetGetTheSameTimeAgain(t *testing.T) {
	a := newFourPortions()
	for i := range 4 {
		a.Update(i, 8, false)
	}
	qt.Assert(t, a.Done(at(70)), qt.IsFalse)
	a.Update(0, 9, true)
	a.Update(1, 9, true)
	a.Update(2, 9, true)
	qt.Assert(t, a.Done(at(100)), qt.IsFalse)
	qt.Assert(t, a.Next(at(100)), qt.Equals, at(140))
	qt.Assert(t, a.Done(at(140)), qt.IsTrue)
	qt.Assert(t, a.Sufficient(), qt.IsTrue)
}

// Load: a host that gathers a portion is frozen. Guards against making the caller wait until the deadline for an answer
// that cannot arrive.
func TestSilentPortionIsLost(t *testing.T) {
	a := newFourPortions()
	for i := range 3 {
		a.Update(i, 9, true)
	}
	qt.Assert(t, a.Done(at(70)), qt.IsFalse)
	qt.Assert(t, a.Done(at(139)), qt.IsFalse)
	qt.Assert(t, a.Done(at(140)), qt.IsTrue)
	qt.Assert(t, a.Sufficient(), qt.IsFalse)
}

// Load: all leaves of two shards are down. Guards against making the caller wait when the minimum coverage can no
// longer be reached.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	a := newFourPortions()
	a.Update(2, 7, true)
	qt.Assert(t, a.Done(at(5)), qt.IsTrue)
	qt.Assert(t, a.Sufficient(), qt.IsFalse)
}

// Guards against a part count that decreases: updates of a final portion are ignored.
func TestEndedPortionTakesNoNews(t *testing.T) {
	a := newFourPortions()
	a.Update(0, 9, true)
	a.Update(0, 1, false)
	qt.Assert(t, a.Received(), qt.Equals, 9)
}

// Guards against ending a query without a target before its parts have arrived, and against one that outlives its
// deadline.
func TestQueryWithoutTarget(t *testing.T) {
	a := assembler.New(assembler.Query{Sizes: []int{1, 1}, Received: start, Deadline: at(800)})
	a.Update(0, 1, true)
	qt.Assert(t, a.Done(at(799)), qt.IsFalse)
	qt.Assert(t, a.Next(at(1)), qt.Equals, at(800))
	qt.Assert(t, a.Done(at(800)), qt.IsTrue)
}
