package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/controld/store"
	"lycheelift.example/lib/registrar"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1_700_000_000, 0)

func begin(key, attempt string) *statev1.Begin {
	return &statev1.Begin{Key: key, Attempt: attempt, Issued: timestamppb.New(start)}
}

// Guards against an expired key that becomes valid again when a leader with a slow clock is elected, also after a restore.
func TestTimeNeverGoesBack(t *testing.T) {
	m := store.NewMachine()
	apply := func(at time.Time, attempt string) *statev1.BeginResult {
		command := &statev1.Command{Time: timestamppb.New(at), Kind: &statev1.Command_Begin{Begin: begin("k", attempt)}}
		return m.Apply(1, command).GetBegin()
	}
	qt.Assert(t, apply(start, "a").GetRun(), qt.IsTrue)
	qt.Assert(t, apply(start.Add(registrar.Window), "b").GetReason(), qt.Equals, callerv1.Reason_REASON_KEY_EXPIRED)
	qt.Assert(t, apply(start, "c").GetReason(), qt.Equals, callerv1.Reason_REASON_KEY_EXPIRED)
	data, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	m = store.NewMachine()
	qt.Assert(t, m.Restore(1, data), qt.IsNil)
	qt.Assert(t, apply(start, "d").GetReason(), qt.Equals, callerv1.Reason_REASON_KEY_EXPIRED)
	command := &statev1.Command{}
	m.Stamp(command, start)
	qt.Assert(t, command.GetTime().AsTime().Equal(start.Add(registrar.Window)), qt.IsTrue)
}

// Guards against a corrupt snapshot that is restored as a smaller state.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	m := store.NewMachine()
	data, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, store.NewMachine().Restore(1, data[:len(data)-1]), qt.IsNotNil)
	qt.Assert(t, store.NewMachine().Restore(1, nil), qt.IsNotNil)
}

// Guards against late hosts that InForce does not return, and against older reports that overwrite newer ones.
func TestInForce(t *testing.T) {
	now := start
	clock := func() time.Time { return now }
	m := store.NewMachine()
	s := store.New(m, store.NewLocal(m, clock), clock)
	body := `{"centers":{"gal-1":{"region":"gal"}},"hosts":{"a":{"center":"gal-1","address":"10.0.0.1:1"},"b":{"center":"gal-1","address":"10.0.0.2:1"}}}`
	_, err := s.Patch(context.Background(), &statev1.Patch{Id: "p", Base: 1, Author: "ana", Body: []byte(body)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Fetch(1, []*statev1.InForce{{Host: "a", Version: 2}, {Host: "b", Version: 1}}).GetNumber(), qt.Equals, uint64(2))
	qt.Assert(t, s.Fetch(2, []*statev1.InForce{{Host: "a", Version: 1}}), qt.IsNil)
	_, reports, late, err := s.InForce()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprint(len(reports), late), qt.Equals, "2 [b]")
	now = now.Add(time.Minute)
	_, reports, late, err = s.InForce()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprint(len(reports), late), qt.Equals, "0 [a b]")
}
