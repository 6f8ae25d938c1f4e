package recorder_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxAnswer is the size of a typical answer in bytes that docs/CAPACITY.md assumes.
const maxAnswer = 120

// Guards against answers that take more space than docs/CAPACITY.md assumes.
func TestSizeOfAnAnswer(t *testing.T) {
	a := answer(1)
	a.Id, a.Service, a.Tenant, a.Caller, a.Host = "0123456789abcdef01234567", "pricing-1", "chain-a", "chain-a", "entry-123"
	a.Snapshot, a.Version, a.Incarnation, a.Number = 812, 14_400, 1_764_800_000_000_000_000, 14_000_000
	a.Outcome, a.Coverage = callerv1.Outcome_OUTCOME_WHOLE, &callerv1.Coverage{Answered: 990, Total: 990}
	size := proto.Size(&statev1.AnswerBatch{Answers: []*statev1.Answer{a}})
	t.Logf("%d bytes", size)
	qt.Assert(t, size <= maxAnswer, qt.IsTrue)
}
