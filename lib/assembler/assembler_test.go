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

// four returns a query over four portions of nine shards, of which one shard may be missing.
func four() *assembler.Assembler {
	return assembler.New(assembler.Query{
		Sizes: []int{9, 9, 9, 9}, Least: 0.95, Received: start, Target: at(70), Deadline: at(800),
	})
}

// Guards against answers that are held until the target though every portion is in.
func TestCompleteAnswerIsGivenAtOnce(t *testing.T) {
	a := four()
	for i := range 4 {
		qt.Assert(t, a.Done(at(20)), qt.IsFalse)
		a.Take(i, 9, true)
	}
	qt.Assert(t, a.Done(at(20)), qt.IsTrue)
	qt.Assert(t, a.Parts(), qt.Equals, 36)
}

// Load: a pause on one leaf of many. Guards against a late answer for one part of 36.
func TestTargetEndsTheWaitForOnePart(t *testing.T) {
	a := four()
	for i := range 3 {
		a.Take(i, 9, true)
	}
	a.Take(3, 8, false)
	qt.Assert(t, a.Done(at(69)), qt.IsFalse)
	qt.Assert(t, a.Next(at(69)), qt.Equals, at(70))
	qt.Assert(t, a.Done(at(70)), qt.IsTrue)
	qt.Assert(t, a.Enough(), qt.IsTrue)
}

// Load: leaves of many shards are slow. Guards against an answer below the least coverage, and against one that misses
// parts that come soon after the target.
func TestTooFewPartsAtTheTargetGetTheSameTimeAgain(t *testing.T) {
	a := four()
	for i := range 4 {
		a.Take(i, 8, false)
	}
	qt.Assert(t, a.Done(at(70)), qt.IsFalse)
	a.Take(0, 9, true)
	a.Take(1, 9, true)
	a.Take(2, 9, true)
	qt.Assert(t, a.Done(at(100)), qt.IsFalse)
	qt.Assert(t, a.Next(at(100)), qt.Equals, at(140))
	qt.Assert(t, a.Done(at(140)), qt.IsTrue)
	qt.Assert(t, a.Enough(), qt.IsTrue)
}

// Load: a host that gathers a portion is frozen. Guards against a caller who is held until the deadline for an answer
// that cannot come.
func TestSilentPortionIsLost(t *testing.T) {
	a := four()
	for i := range 3 {
		a.Take(i, 9, true)
	}
	qt.Assert(t, a.Done(at(70)), qt.IsFalse)
	qt.Assert(t, a.Done(at(139)), qt.IsFalse)
	qt.Assert(t, a.Done(at(140)), qt.IsTrue)
	qt.Assert(t, a.Enough(), qt.IsFalse)
}

// Load: all leaves of two shards are gone. Guards against a caller who is held when too many parts are missing for good.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	a := four()
	a.Take(2, 7, true)
	qt.Assert(t, a.Done(at(5)), qt.IsTrue)
	qt.Assert(t, a.Enough(), qt.IsFalse)
}

// Guards against parts that are given back: a portion that has ended takes no news.
func TestEndedPortionTakesNoNews(t *testing.T) {
	a := four()
	a.Take(0, 9, true)
	a.Take(0, 1, false)
	qt.Assert(t, a.Parts(), qt.Equals, 9)
}

// Guards against a query without a target that is given before its parts are in, and against one that outlives its
// deadline.
func TestQueryWithoutTarget(t *testing.T) {
	a := assembler.New(assembler.Query{Sizes: []int{1, 1}, Received: start, Deadline: at(800)})
	a.Take(0, 1, true)
	qt.Assert(t, a.Done(at(799)), qt.IsFalse)
	qt.Assert(t, a.Next(at(1)), qt.Equals, at(800))
	qt.Assert(t, a.Done(at(800)), qt.IsTrue)
}
