package answerer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/roller"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// roll adds a leaf of version v2 of the first service and a running rollout with a share.
func (f *fleet) roll(share uint32) {
	f.view.Trials = map[string][]*cataloguer.Leaf{"s0": {{
		Name: "trial", Incarnation: 1, Center: "a", Service: "s0", Slots: 2, Program: "v2", Address: netip.MustParseAddrPort("10.0.0.2:1"),
	}}}
	f.view.Rollouts = map[string]*statev1.Rollout{"s0": {
		Service: "s0", Target: "v2", State: statev1.RolloutState_ROLLOUT_STATE_RUNNING, Share: share, Order: 1, Revision: uint64(share),
	}}
	f.leaves["trial"] = f.answers("trial", typical)
}

// counting returns an answerer that draws the same number each time, and its tally.
func (f *fleet) counting(drawn float64) (*answerer.Answerer, *roller.Tally) {
	tally := roller.NewTally("host", 1)
	tally.Update(f.view.Rollouts, time.Now())
	bounds := answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	return answerer.New("host", "a", f, f, bounds, time.Now, answerer.WithRandom(func() float64 { return drawn }), answerer.WithTally(tally)), tally
}

// Guards against a call to an ordered version beyond its share, and against a failure of it that reaches the caller although
// the version in use can answer: the retry goes there. Guards against counts that miss the failure.
func TestShareAppliesToFirstCalls(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.roll(100)
		a, _ := f.counting(0.1)
		ask(a, "/one/1")
		qt.Check(t, f.called("trial"), qt.Equals, 0)
		f.leaves["trial"] = breaks
		a, tally := f.counting(0.05)
		reply, _ := ask(a, "/one/2")
		qt.Check(t, reply.Outcome, qt.Equals, carrier.Answered)
		qt.Check(t, f.called("trial"), qt.Equals, 1)
		qt.Check(t, f.called(), qt.Equals, 3)
		for _, c := range tally.Report(true, time.Now())[0].GetRoutes() {
			qt.Check(t, c.GetSent(), qt.Equals, uint64(1))
			qt.Check(t, c.GetFailed() == 1, qt.Equals, c.GetTarget())
		}
	})
}

// Guards against a request that runs once and fails on an ordered version without being counted as failed: its status is the
// answer.
func TestErrorOfARequestThatRunsOnceIsCounted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.roll(100)
		f.leaves["trial"] = func(_ context.Context, c *carrier.Call) (*carrier.Answer, error) {
			return &carrier.Answer{Status: 500, Stamp: "s", ID: c.Request.ID}, nil
		}
		a, tally := f.counting(0)
		reply, _ := ask(a, "/once/1")
		qt.Check(t, reply.Answer.Status, qt.Equals, 500)
		qt.Check(t, tally.Report(true, time.Now())[0].GetRoutes()[1].GetFailed(), qt.Equals, uint64(1))
	})
}

// Guards against a call, a hedge or a retry to the old version once all traffic is moved, and against a shard that counts as
// missing because the only leaf of the ordered version cannot be called.
func TestAllTrafficIsMoved(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		f.roll(roller.FullShare)
		a, tally := f.counting(0.999)
		ask(a, "/one/1")
		f.leaves["trial"] = breaks
		ask(a, "/one/2")
		qt.Check(t, f.called(), qt.Equals, f.called("trial"))
		time.Sleep(time.Second)
		qt.Check(t, tally.Report(true, time.Now())[0].GetDrained(), qt.IsTrue)

		f = newFleet(10)
		f.roll(100)
		f.leaves["trial"] = refuses
		a, _ = f.counting(0)
		for range 8 {
			reply, _ := ask(a, "/all/1")
			qt.Check(t, reply.Outcome, qt.Equals, carrier.Gathered)
			qt.Check(t, reply.Missing, qt.Equals, 0)
		}
	})
}
