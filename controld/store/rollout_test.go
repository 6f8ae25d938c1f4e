package store_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Guards against an acknowledged order, its share or its outcome that a restart from a snapshot loses, and against a snapshot
// of a program without rollouts that cannot be read.
func TestRolloutIsInTheSnapshot(t *testing.T) {
	ctx := context.Background()
	m := store.NewMachine()
	s := store.New(m, store.NewLocal(m, time.Now), time.Now)
	ordered, err := s.Order(ctx, &statev1.RolloutOrder{Service: "desk", Target: "v2", Duration: durationpb.New(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ordered.GetChanged(), qt.IsTrue)
	changed := s.View().Changed
	_, err = s.Step(ctx, &statev1.RolloutStep{Service: "desk", Revision: ordered.GetRollout().GetRevision(), Share: 25, Seen: 400, Exposed: 9})
	qt.Assert(t, err, qt.IsNil)
	<-changed
	before := s.View().Rollouts
	after := store.New(restored(t, m), nil, time.Now).View().Rollouts
	qt.Assert(t, after, qt.HasLen, 1)
	qt.Assert(t, proto.Equal(after[0], before[0]), qt.IsTrue)
	qt.Assert(t, after[0].GetShare(), qt.Equals, uint32(25))

	data, err := store.NewMachine().Snapshot()
	qt.Assert(t, err, qt.IsNil)
	old := &statev1.State{}
	qt.Assert(t, proto.Unmarshal(data, old), qt.IsNil)
	qt.Assert(t, old.GetRollouts(), qt.HasLen, 0)
	qt.Assert(t, m.Restore(1, data), qt.IsNil)
	qt.Assert(t, s.View().Rollouts, qt.HasLen, 0)
}
