package roller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"lycheelift.example/lib/roller"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func order(version string) *statev1.RolloutOrder {
	return &statev1.RolloutOrder{Service: "desk", Target: version, Duration: durationpb.New(time.Minute)}
}

func step(revision uint64, state statev1.RolloutState, share uint32) *statev1.RolloutStep {
	return &statev1.RolloutStep{Service: "desk", Revision: revision, State: state, Share: share}
}

// Guards against an order that is started twice, against one that replaces another in progress, and against one that starts
// again when it is repeated after its end.
func TestOrderIsStartedOnce(t *testing.T) {
	l := roller.NewLedger()
	qt.Assert(t, l.Order(1, order("v2"), begin).GetChanged(), qt.IsTrue)
	qt.Assert(t, l.Order(2, order("v2"), begin).GetChanged(), qt.IsFalse)
	qt.Assert(t, l.Order(3, order("v3"), begin).GetChanged(), qt.IsFalse)
	qt.Assert(t, l.Step(4, step(1, rolledBack, 0), begin).GetChanged(), qt.IsTrue)
	again := l.Order(5, order("v2"), begin)
	qt.Assert(t, again.GetChanged(), qt.IsFalse)
	qt.Assert(t, again.GetRollout().GetState(), qt.Equals, rolledBack)
	qt.Assert(t, l.Order(6, order("v3"), begin).GetRollout().GetState(), qt.Equals, running)
	qt.Assert(t, l.Step(7, step(6, succeeded, 0), begin).GetRollout().GetBaseline(), qt.Equals, "v3")
	qt.Assert(t, l.Order(8, order("v3"), begin).GetRollout().GetState(), qt.Equals, succeeded)
}

// Guards against a step of a former leader that undoes a newer one, and against any sequence of records that takes an order
// back from its end or that a snapshot changes.
func TestStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := roller.NewLedger()
		l.Order(1, order("v2"), begin)
		ended := statev1.RolloutState_ROLLOUT_STATE_UNSPECIFIED
		for index := range uint64(rapid.IntRange(1, 20).Draw(t, "records")) {
			index += 2
			revision := uint64(rapid.IntRange(0, int(index)).Draw(t, "revision"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				l.Order(index, order("v2"), begin)
			case 1:
				l.SetBaselines(index, &statev1.Baselines{Baselines: []*statev1.Baseline{{Service: "desk", Version: "v1", Revision: revision}}}, begin)
			default:
				state := rapid.SampledFrom([]statev1.RolloutState{running, succeeded, rolledBack}).Draw(t, "state")
				before := l.Find("desk")
				if l.Step(index, step(revision, state, 100), begin).GetChanged() && before.GetRevision() != revision {
					t.Fatal("a step that was decided on another revision was applied")
				}
			}
			state := &statev1.State{}
			l.Save(state)
			l.Load(state)
			now := l.Find("desk").GetState()
			if ended != statev1.RolloutState_ROLLOUT_STATE_UNSPECIFIED && now != ended {
				t.Fatalf("%s after %s", now, ended)
			}
			if now != running {
				ended = now
			}
		}
	})
}

// Guards against leaves of a version that no order sends traffic to and that get some, before an order, during one for
// another version and after its end; and against deployments without orders or versions in use that lose leaves.
func TestRoles(t *testing.T) {
	roles := func(r *statev1.Rollout) (out []roller.Role) {
		for _, v := range []string{"v1", "v2", "v3"} {
			out = append(out, roller.RoleOf(r, v))
		}
		return out
	}
	qt.Check(t, roles(nil), qt.DeepEquals, []roller.Role{roller.Stable, roller.Stable, roller.Stable})
	l := roller.NewLedger()
	l.Order(1, order("v2"), begin)
	qt.Check(t, roles(l.Find("desk")), qt.DeepEquals, []roller.Role{roller.Stable, roller.Trial, roller.Stable})
	l.Step(2, step(1, rolledBack, 0), begin)
	qt.Check(t, roles(l.Find("desk")), qt.DeepEquals, []roller.Role{roller.Stable, roller.Idle, roller.Stable})
	l.SetBaselines(3, &statev1.Baselines{Baselines: []*statev1.Baseline{{Service: "desk", Version: "v1", Revision: 2}}}, begin)
	qt.Check(t, roles(l.Find("desk")), qt.DeepEquals, []roller.Role{roller.Stable, roller.Idle, roller.Idle})
	l.Order(4, order("v3"), begin)
	qt.Check(t, roles(l.Find("desk")), qt.DeepEquals, []roller.Role{roller.Stable, roller.Idle, roller.Trial})
	l.Step(5, step(4, succeeded, 0), begin)
	qt.Check(t, roles(l.Find("desk")), qt.DeepEquals, []roller.Role{roller.Idle, roller.Idle, roller.Stable})
}

// Guards against a version in use that changes while it has leaves or while an order runs, and against a version that was
// rolled back and takes the place of a sound one.
func TestNextBaseline(t *testing.T) {
	version, due := roller.NextBaseline(nil, map[string]int{"v1": 3, "v2": 1})
	qt.Check(t, due, qt.IsTrue)
	qt.Check(t, version, qt.Equals, "v1")
	r := &statev1.Rollout{Service: "desk", Baseline: "v1", Target: "v2", State: rolledBack}
	_, due = roller.NextBaseline(r, map[string]int{"v1": 1, "v3": 5})
	qt.Check(t, due, qt.IsFalse)
	_, due = roller.NextBaseline(r, nil)
	qt.Check(t, due, qt.IsFalse)
	version, due = roller.NextBaseline(r, map[string]int{"v2": 5, "v3": 1})
	qt.Check(t, due, qt.IsTrue)
	qt.Check(t, version, qt.Equals, "v3")
	r.State = running
	_, due = roller.NextBaseline(r, map[string]int{"v3": 1})
	qt.Check(t, due, qt.IsFalse)
}

// Guards against a service that counts as moved while a call still runs on a leaf of the old version, and against calls whose
// result is counted twice or that were never sent.
func TestTally(t *testing.T) {
	tally := roller.NewTally("entry", 1)
	qt.Assert(t, tally.Begin("desk", "v1", "wide", false, begin), qt.IsNil)
	l := roller.NewLedger()
	l.Order(1, order("v2"), begin)
	update := func(share uint32) {
		l.Step(uint64(share)+2, step(l.Find("desk").GetRevision(), running, share), begin)
		tally.Update(map[string]*statev1.Rollout{"desk": l.Find("desk")}, begin)
	}
	update(100)
	old, moved := tally.Begin("desk", "v1", "wide", false, begin), tally.Begin("desk", "v2", "wide", false, begin)
	update(roller.FullShare)
	later := begin.Add(time.Second)
	qt.Check(t, tally.Report(true, later)[0].GetDrained(), qt.IsFalse)
	old.End(roller.Unsent, later)
	old.Close()
	old.Close()
	moved.End(roller.Slow, later)
	moved.End(roller.Answered, later)
	counts := tally.Report(true, later)[0]
	qt.Check(t, counts.GetDrained(), qt.IsTrue)
	qt.Check(t, tally.Report(false, later)[0].GetDrained(), qt.IsFalse)
	for _, c := range counts.GetRoutes() {
		qt.Check(t, c.GetSent() == 1 && c.GetSlow() == 1, qt.Equals, c.GetTarget())
		qt.Check(t, c.GetAnswered(), qt.HasLen, 0)
	}
	l.Step(5000, step(l.Find("desk").GetRevision(), succeeded, 0), begin)
	tally.Update(map[string]*statev1.Rollout{"desk": l.Find("desk")}, begin)
	qt.Check(t, tally.Report(true, later), qt.HasLen, 0)
}

// Guards against orders that no host can carry out.
func TestValidate(t *testing.T) {
	qt.Check(t, roller.Validate("desk", "v2", time.Minute), qt.IsNil)
	for _, err := range []error{
		roller.Validate("", "v2", time.Minute), roller.Validate("desk", "", time.Minute), roller.Validate("desk", "v2", 0),
		roller.Validate("desk", "v2", -time.Minute), roller.Validate("desk", "v2", 1000*time.Hour), roller.Validate("desk", "\xff", time.Minute),
	} {
		qt.Check(t, err, qt.ErrorIs, roller.ErrInvalid)
	}
}
