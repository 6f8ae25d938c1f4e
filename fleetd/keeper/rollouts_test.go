package keeper_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/keeper"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// newLeading returns a control host that leads and carries out rollouts of the service desk.
func newLeading(baselines bool) *fixture {
	w := newFixture()
	w.status.Leading = true
	decode := func(body []byte) (*router.Document, error) {
		return &router.Document{Version: 7, Services: []router.Service{{Name: string(body)}}}, nil
	}
	w.keeper = keeper.New("core-1", "a", netip.MustParseAddrPort("10.0.0.1:80"), "10.0.0.1:7000", w.store, w, func() time.Time { return w.now },
		keeper.WithRollouts(roller.Bounds{Exposure: 0.1, Slack: 50, Rollback: 5 * time.Second}, baselines), keeper.WithDecoder(decode))
	return w
}

func (w *fixture) announce(t *testing.T, version string, count int) {
	for i := range count {
		l := &enroller.Leaf{
			Name: fmt.Sprint(version, i), Born: 1, Sequence: 1, Service: "desk", Center: "a", Slots: 2, Program: version,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%s.%d:80", version[1:], i+1)),
		}
		_, err := w.keeper.Heartbeat(context.Background(), l)
		qt.Assert(t, err, qt.IsNil)
	}
}

// Guards against an order that is acknowledged without a majority, that is taken for a service that no configuration names,
// or that replaces one in progress; and against a state that is read without a majority.
func TestOrdersNeedAMajority(t *testing.T) {
	ctx := context.Background()
	w := newLeading(false)
	order := func(service, version string) (*statev1.Rollout, error) {
		return w.keeper.Order(ctx, service, version, time.Minute, "op")
	}
	_, err := order("desk", "v2")
	qt.Assert(t, err, qt.ErrorIs, roller.ErrUnknownService, qt.Commentf("there is no configuration"))
	qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 7}, []byte("desk"), "op"), qt.IsNil)
	_, err = order("other", "v2")
	qt.Assert(t, err, qt.ErrorIs, roller.ErrUnknownService)
	_, err = w.keeper.Rollout(ctx, "desk")
	qt.Assert(t, err, qt.ErrorIs, roller.ErrUnknownService)
	w.noQuorum = true
	_, err = order("desk", "v2")
	qt.Assert(t, err, qt.ErrorIs, keeper.ErrUndecided)
	w.noQuorum = false
	started, err := order("desk", "v2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, started.GetState(), qt.Equals, statev1.RolloutState_ROLLOUT_STATE_RUNNING)
	for _, version := range []string{"v2", "v3"} {
		_, err = order("desk", version)
		qt.Assert(t, err, qt.ErrorIs, roller.ErrRunning)
	}
	w.now = start.Add(time.Hour)
	w.keeper.StepRollouts(ctx)
	ended, err := order("desk", "v2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ended.GetState(), qt.Equals, statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK)
	w.noQuorum = true
	_, err = w.keeper.Rollout(ctx, "desk")
	qt.Assert(t, err, qt.ErrorIs, keeper.ErrUndecided)
}

// Guards against a version without leaves that gets a share, against counts that do not reach the order, and against an order
// for a service that a later configuration does not name.
func TestLeaderRunsAnOrder(t *testing.T) {
	ctx := context.Background()
	w := newLeading(false)
	qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 7}, []byte("desk"), "op"), qt.IsNil)
	w.announce(t, "v1", 3)
	_, err := w.keeper.Order(ctx, "desk", "v2", time.Minute, "op")
	qt.Assert(t, err, qt.IsNil)
	share := func() uint32 {
		w.now = w.now.Add(200 * time.Millisecond)
		w.keeper.StepRollouts(ctx)
		return w.store.Rollouts()[0].GetShare()
	}
	qt.Assert(t, share(), qt.Equals, uint32(0))
	w.announce(t, "v2", 3)
	qt.Assert(t, share() > 0, qt.IsTrue)
	rollout := w.store.Rollouts()[0]
	_, err = keeper.NewService(w.keeper, nil).ReportCounts(ctx, &peerv1.ReportCountsRequest{Counts: []*peerv1.ServiceCounts{{
		Host: "10.0.0.8:1", Boot: 1, Service: "desk", Order: rollout.GetOrder(), Revision: rollout.GetRevision(),
		Routes: []*peerv1.RouteCounts{{Route: "r", Sent: 100, Answered: []uint64{0, 100}}, {Route: "r", Target: true, Sent: 9, Failed: 9}},
	}}})
	qt.Assert(t, err, qt.IsNil)
	share()
	rollout = w.store.Rollouts()[0]
	qt.Assert(t, rollout.GetState(), qt.Equals, statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK)
	qt.Assert(t, rollout.GetExposed(), qt.Equals, uint64(9))

	_, err = w.keeper.Order(ctx, "desk", "v3", time.Minute, "op")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.store.Rollouts()[0].GetState(), qt.Equals, statev1.RolloutState_ROLLOUT_STATE_RUNNING)
	qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 8}, []byte("other"), "op"), qt.IsNil)
	share()
	qt.Assert(t, w.store.Rollouts()[0].GetState(), qt.Equals, statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK)
}

// Guards against a version in use that is recorded where rollouts are not bounded, and against one that a new version takes
// over because its leaves announce themselves.
func TestVersionInUseIsRecorded(t *testing.T) {
	ctx := context.Background()
	for _, baselines := range []bool{false, true} {
		w := newLeading(baselines)
		qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 7}, []byte("desk"), "op"), qt.IsNil)
		w.announce(t, "v1", 2)
		for range 5 {
			w.now = w.now.Add(time.Second)
			w.keeper.StepRollouts(ctx)
			w.announce(t, "v2", 5)
		}
		if !baselines {
			qt.Assert(t, w.store.Rollouts(), qt.HasLen, 0)
			continue
		}
		qt.Assert(t, w.store.Rollouts()[0].GetBaseline(), qt.Equals, "v1")
		qt.Assert(t, w.keeper.Leave(ctx, "v10", 1), qt.IsNil)
		qt.Assert(t, w.keeper.Leave(ctx, "v11", 1), qt.IsNil)
		for range 15 {
			w.now = w.now.Add(time.Second)
			w.keeper.StepRollouts(ctx)
		}
		qt.Assert(t, w.store.Rollouts()[0].GetBaseline(), qt.Equals, "v2")
	}
}
