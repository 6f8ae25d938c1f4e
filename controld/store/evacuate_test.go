package store_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func evacuation(out bool, after *uint64) *statev1.Command {
	return &statev1.Command{Kind: &statev1.Command_Evacuation{Evacuation: &statev1.Evacuation{Center: "a", Out: out, After: after}}}
}

// restored returns a copy of a machine made from its snapshot.
func restored(t *testing.T, m *store.Machine) *store.Machine {
	data, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	out := store.NewMachine()
	qt.Assert(t, out.Restore(3, data), qt.IsNil)
	return out
}

// Guards against an order that was held up and undoes a newer one, also when the newer one changed nothing, and also on a
// host that has restored its state from a snapshot.
func TestOvertakenOrderIsIgnored(t *testing.T) {
	for _, changes := range []bool{true, false} {
		m := store.NewMachine()
		m.Apply(1, evacuation(true, proto.Uint64(0)))
		if changes {
			m.Apply(2, evacuation(false, proto.Uint64(1)))
		}
		m.Apply(3, evacuation(true, proto.Uint64(2)))
		for _, machine := range []*store.Machine{m, restored(t, m)} {
			result := machine.Apply(4, evacuation(false, proto.Uint64(1))).GetEvacuation()
			qt.Assert(t, result.GetOvertaken(), qt.IsTrue)
			qt.Assert(t, result.GetChanged(), qt.IsFalse)
			qt.Assert(t, store.New(machine, nil, time.Now).View().Evacuated, qt.DeepEquals, []string{"a"})
			qt.Assert(t, machine.Apply(5, evacuation(false, proto.Uint64(3))).GetEvacuation().GetChanged(), qt.IsTrue)
		}
	}
}

// Guards against a record of an older program, which says nothing of other orders, that has another effect when the log is
// read again.
func TestOrderOfAnOlderProgramApplies(t *testing.T) {
	m := store.NewMachine()
	m.Apply(1, evacuation(true, nil))
	qt.Assert(t, m.Apply(2, evacuation(false, nil)).GetEvacuation().GetChanged(), qt.IsTrue)
}

// heldUp is a log on which an order waits while others are decided.
type heldUp struct {
	*store.Local
	meanwhile func()
}

// Propose runs what happens while the command is on its way, and then records it.
func (l *heldUp) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	meanwhile := l.meanwhile
	l.meanwhile = func() {}
	meanwhile()
	return l.Local.Propose(ctx, c)
}

// An author moves on from a host that does not answer, and sends its newer orders to another one. Guards, at any point in
// time at which the first host was held up, against an order that undoes one that was acknowledged later.
func TestAuthorsNewestOrderStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		m := store.NewMachine()
		local := store.NewLocal(m, time.Now)
		elsewhere := store.New(m, local, time.Now)
		always := func() bool { return true }
		order := func(out bool) {
			if err := elsewhere.Evacuate(ctx, &statev1.Evacuation{Center: "a", Out: out}, always); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "before") {
			order(rapid.Bool().Draw(t, "out"))
		}
		waiting := true
		newer := rapid.SliceOfN(rapid.Bool(), 1, 4).Draw(t, "newer")
		moveOn := func() {
			waiting = false
			for _, out := range newer {
				order(out)
			}
		}
		log := &heldUp{Local: local, meanwhile: func() {}}
		late := rapid.Bool().Draw(t, "late")
		if late {
			log.meanwhile = moveOn
		} else {
			moveOn()
		}
		err := store.New(m, log, time.Now).Evacuate(ctx, &statev1.Evacuation{Center: "a", Out: rapid.Bool().Draw(t, "first")}, func() bool { return waiting })
		if !late && err == nil {
			t.Fatal("an order whose author has moved on was acknowledged")
		}
		if out := len(elsewhere.View().Evacuated) == 1; out != newer[len(newer)-1] {
			t.Fatalf("the data centre is evacuated: %t", out)
		}
	})
}
