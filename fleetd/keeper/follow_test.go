package keeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/controld/store"
	"lycheelift.example/lib/enroller"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// evacuationKeeper returns a control host whose state includes an evacuation.
func evacuationKeeper(machine *store.Machine) *Keeper {
	k := newKeeper()
	k.log = leaderlessLog{}
	k.store = store.New(machine, store.NewLocal(machine, k.clock), k.clock)
	return k
}

func evacuate(out bool) *statev1.Command {
	return &statev1.Command{Kind: &statev1.Command_Evacuation{Evacuation: &statev1.Evacuation{Center: "a", Out: out}}}
}

// All control hosts restart from a snapshot whose last command is an evacuation that an entry host has not received. Guards
// against an index below what the state includes, which makes the entry host ignore the evacuation.
func TestIndexAfterARestoreIncludesTheState(t *testing.T) {
	before := store.NewMachine()
	before.Apply(31, &statev1.Command{})
	before.Apply(32, evacuate(true))
	data, err := before.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	after := store.NewMachine()
	qt.Assert(t, after.Restore(32, data), qt.IsNil)
	k := evacuationKeeper(after)
	f := &stream{keeper: k, request: &peerv1.FollowRequest{Host: "entry"}, departed: make(map[string]uint64)}
	m := f.next(k.store.View(), enroller.Batch{}, begin)
	qt.Assert(t, m.GetIndex() >= 32, qt.IsTrue, qt.Commentf("index %d", m.GetIndex()))
	qt.Assert(t, m.GetEvacuated().GetCenters(), qt.DeepEquals, []string{"a"})
}

// An entry host that has seen an evacuation follows a control host that lags behind, and ignores its older list. Guards
// against a list that is not sent again once the control host has caught up to an equal one.
func TestEvacuationsAreSentAgainAtAHigherIndex(t *testing.T) {
	machine := store.NewMachine()
	machine.Apply(10, &statev1.Command{})
	k := evacuationKeeper(machine)
	f := &stream{keeper: k, request: &peerv1.FollowRequest{Host: "entry"}, departed: make(map[string]uint64)}
	qt.Assert(t, f.next(k.store.View(), enroller.Batch{}, begin).GetEvacuated(), qt.IsNotNil)
	qt.Assert(t, f.next(k.store.View(), enroller.Batch{}, begin.Add(time.Second)).GetEvacuated(), qt.IsNil)
	machine.Apply(11, evacuate(true))
	machine.Apply(12, evacuate(false))
	m := f.next(k.store.View(), enroller.Batch{}, begin.Add(2*time.Second))
	qt.Assert(t, m.GetEvacuated(), qt.IsNotNil)
	qt.Assert(t, m.GetIndex(), qt.Equals, uint64(12))
}
