package recorder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/recorder"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func answer(second int) *statev1.Answer {
	return &statev1.Answer{Time: timestamppb.New(start.Add(time.Duration(second) * time.Second))}
}

func span(host string, from, until uint64, first, last int, closed bool) *statev1.Span {
	return &statev1.Span{
		Host: host, Incarnation: 1, From: from, Until: until, Closed: closed,
		First: answer(first).GetTime(), Last: answer(last).GetTime(),
	}
}

// Guards against a batch that is removed before it is stored.
func TestBatchIsSentAgainUntilDone(t *testing.T) {
	b := recorder.NewBuffer("entry-1", 1, 10)
	b.Add(answer(1))
	b.Add(answer(2))
	first := b.Peek(1)
	b.Add(answer(3))
	qt.Assert(t, b.Peek(1).GetAnswers()[0].GetNumber(), qt.Equals, first.GetAnswers()[0].GetNumber())
	b.Discard()
	qt.Assert(t, b.Peek(10).GetAnswers(), qt.HasLen, 2)
	qt.Assert(t, b.Peek(10).GetAnswers()[0].GetNumber(), qt.Equals, uint64(2))
}

// Guards against dropped answers that leave no gap in the numbers.
func TestDroppedAnswersLeaveAHole(t *testing.T) {
	b := recorder.NewBuffer("entry-1", 1, 1)
	b.Add(answer(1))
	b.Add(answer(2))
	b.Peek(1)
	b.Discard()
	b.Add(answer(3))
	qt.Assert(t, b.Peek(1).GetAnswers()[0].GetNumber(), qt.Equals, uint64(3))
	_, dropped := b.Stats()
	qt.Assert(t, dropped, qt.Equals, uint64(1))
}

// Guards against a record that appears complete although a control host with part of it was lost.
func TestGapsNameWhatNoControlHostKeeps(t *testing.T) {
	union := recorder.Union([]*statev1.Span{
		span("entry-1", 1, 10, 0, 1, false), span("entry-1", 8, 12, 1, 2, false), span("entry-1", 20, 30, 3, 4, true),
		span("entry-2", 1, 5, 0, 1, false),
	})
	gaps := recorder.Gaps(union, start, start.Add(time.Hour), time.Minute)
	qt.Assert(t, gaps, qt.HasLen, 2)
	qt.Assert(t, []uint64{gaps[0].GetFrom(), gaps[0].GetUntil()}, qt.DeepEquals, []uint64{13, 19})
	qt.Assert(t, gaps[1].GetHost(), qt.Equals, "entry-2")
	qt.Assert(t, gaps[1].GetOpen(), qt.IsTrue)
	qt.Assert(t, recorder.Gaps(union[2:], start.Add(time.Hour), start.Add(2*time.Hour), time.Minute), qt.HasLen, 0)
}

// Guards against an answer that is listed twice because two control hosts have stored it.
func TestMergeRemovesCopies(t *testing.T) {
	a, b := answer(2), answer(1)
	a.Number, b.Number = 2, 1
	merged := recorder.Merge([]*statev1.Answer{a, b}, []*statev1.Answer{a})
	qt.Assert(t, merged, qt.HasLen, 2)
	qt.Assert(t, merged[0].GetNumber(), qt.Equals, uint64(1))
}
