package keeper_test

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/fleetd/keeper"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1000, 0)

// world is one control host whose log commits at once, unless it has lost its majority.
type world struct {
	keeper *keeper.Keeper
	store  *store.Store
	now    time.Time
	status replica.Status
	lost   bool
	local  *store.Local
}

func newWorld() *world {
	w := &world{now: start, status: replica.Status{Leader: "10.0.0.1", Heard: start}}
	clock := func() time.Time { return w.now }
	machine := store.NewMachine()
	w.local = store.NewLocal(machine, clock)
	w.store = store.New(machine, w, clock)
	w.keeper = keeper.New("core-1", "a", netip.MustParseAddrPort("10.0.0.1:80"), "10.0.0.1:7000", w.store, w, clock)
	return w
}

func (w *world) Status() replica.Status { return w.status }

var errLost = errors.New("no majority")

func (w *world) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	if w.lost {
		return nil, errLost
	}
	return w.local.Propose(ctx, c)
}

func (w *world) Barrier(context.Context) error {
	if w.lost {
		return errLost
	}
	return nil
}

func leaf(born, sequence uint64, leaving bool) *enroller.Leaf {
	return &enroller.Leaf{
		Name: "x", Born: born, Sequence: sequence, Service: "desk", Address: netip.MustParseAddrPort("10.0.0.9:80"), Center: "a",
		Slots: 2, Leaving: leaving,
	}
}

// Guards against an acknowledgement of a departure that a crash of this host would take with it, and against a leaf
// that comes back by a heartbeat that arrives late.
func TestDepartureIsAcknowledgedWhenItIsRecorded(t *testing.T) {
	ctx := context.Background()
	w := newWorld()
	next, err := w.keeper.Heartbeat(ctx, leaf(5, 1, false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next.String(), qt.Equals, "10.0.0.1:80")
	w.lost = true
	_, err = w.keeper.Heartbeat(ctx, leaf(5, 2, true))
	qt.Assert(t, err, qt.ErrorIs, keeper.ErrUndecided)
	w.lost = false
	_, err = w.keeper.Heartbeat(ctx, leaf(5, 3, true))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.store.Departed("x", 5), qt.IsTrue)
	_, err = w.keeper.Heartbeat(ctx, leaf(5, 4, false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.store.View().Departures["x"], qt.Equals, uint64(5))
	_, err = w.keeper.Heartbeat(ctx, leaf(6, 1, false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.store.Departed("x", 6), qt.IsFalse)
}

// Guards against a departure without a start that takes the wrong incarnation out.
func TestLeaveWithoutAStartMeansTheKnownIncarnation(t *testing.T) {
	ctx := context.Background()
	w := newWorld()
	_, err := w.keeper.Heartbeat(ctx, leaf(5, 1, false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.keeper.Leave(ctx, "x", 0), qt.IsNil)
	qt.Assert(t, w.store.Departed("x", 5), qt.IsTrue)
	qt.Assert(t, w.store.Departed("x", 6), qt.IsFalse)
}

// Guards against a configuration or a read that is acknowledged without a majority, and against an order that is
// refused when it is sent again.
func TestConfigurationNeedsAMajority(t *testing.T) {
	ctx := context.Background()
	w := newWorld()
	body, err := w.keeper.Document(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.IsNil)
	seven := &router.Document{Version: 7}
	qt.Assert(t, w.keeper.Put(ctx, seven, []byte("seven"), "op"), qt.IsNil)
	qt.Assert(t, w.keeper.Put(ctx, seven, []byte("seven"), "op"), qt.IsNil)
	qt.Assert(t, w.keeper.Put(ctx, seven, []byte("other"), "op"), qt.IsNil)
	qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 6}, []byte("six"), "op"), qt.IsNil)
	body, err = w.keeper.Document(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "seven")
	w.lost = true
	_, err = w.keeper.Document(ctx)
	qt.Assert(t, err, qt.ErrorIs, keeper.ErrUndecided)
	qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 8}, []byte("eight"), "op"), qt.ErrorIs, keeper.ErrUndecided)
}

// Guards against an evacuation that is doubled by a resend or not taken back.
func TestEvacuation(t *testing.T) {
	ctx := context.Background()
	w := newWorld()
	for range 2 {
		qt.Assert(t, w.keeper.Evacuate(ctx, "b", true, "op"), qt.IsNil)
	}
	qt.Assert(t, w.store.View().Evacuated, qt.DeepEquals, []string{"b"})
	qt.Assert(t, w.keeper.Evacuate(ctx, "b", false, "op"), qt.IsNil)
	qt.Assert(t, w.store.View().Evacuated, qt.HasLen, 0)
	changes, err := w.store.Changes(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changes, qt.HasLen, 2)
}

// Guards against a control host that says it is up to date while it hears no leader, or while it cannot write.
func TestSettled(t *testing.T) {
	w := newWorld()
	qt.Assert(t, w.keeper.Settled(start.Add(600*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, w.keeper.Settled(start.Add(800*time.Millisecond)), qt.IsFalse)
	w.status.Failure = errLost
	qt.Assert(t, w.keeper.Settled(start), qt.IsFalse)
	w.status = replica.Status{Heard: start}
	qt.Assert(t, w.keeper.Settled(start), qt.IsFalse)
}

// Load: entry hosts join and leave in series. Guards against entry hosts that are not told of each other, in whatever
// data centre, against one that stays listed when it is gone, against one that is dropped because an older stream of it
// ends, and against the whole list being sent again at each change.
func TestEntryHostsLearnOfEachOther(t *testing.T) {
	w := newWorld()
	// join returns the end of the stream and a function that waits until the host knows just these hosts.
	join := func(center, address string) (context.CancelFunc, func(want ...string)) {
		out := newRecorder()
		go func() {
			_ = keeper.NewService(w.keeper, nil).Follow(&peerv1.FollowRequest{Host: address, Center: center, Address: address}, out)
		}()
		known, lists := make(map[string]string), 0
		return out.cancel, func(want ...string) {
			for !slices.Equal(slices.Sorted(maps.Keys(known)), want) {
				m := (<-out.sent).GetHosts()
				if m == nil {
					continue
				}
				lists++
				qt.Assert(t, m.GetWhole(), qt.Equals, lists == 1)
				for _, h := range m.GetHosts() {
					qt.Assert(t, known[h.GetAddress()], qt.Equals, "")
					known[h.GetAddress()] = h.GetCenter()
				}
				for _, address := range m.GetGone() {
					qt.Assert(t, known[address], qt.Not(qt.Equals), "")
					delete(known, address)
				}
			}
			qt.Assert(t, known[address], qt.Equals, center)
		}
	}
	leaveFirst, first := join("a", "10.0.0.8:1")
	defer leaveFirst()
	first("10.0.0.8:1")
	leaveOther, other := join("b", "10.0.0.9:1")
	defer leaveOther()
	other("10.0.0.8:1", "10.0.0.9:1")
	leaveSecond, second := join("a", "10.0.0.7:1")
	second("10.0.0.7:1", "10.0.0.8:1", "10.0.0.9:1")
	first("10.0.0.7:1", "10.0.0.8:1", "10.0.0.9:1")
	leaveAgain, again := join("a", "10.0.0.7:1")
	again("10.0.0.7:1", "10.0.0.8:1", "10.0.0.9:1")
	leaveSecond()
	leaveThird, third := join("a", "10.0.0.6:1")
	defer leaveThird()
	third("10.0.0.6:1", "10.0.0.7:1", "10.0.0.8:1", "10.0.0.9:1")
	leaveAgain()
	first("10.0.0.6:1", "10.0.0.8:1", "10.0.0.9:1")
}

// recorder is the server's side of a stream; it keeps what is sent.
type recorder struct {
	peerv1.FollowService_FollowServer
	ctx    context.Context //nolint:containedctx // A stream carries its context.
	cancel context.CancelFunc
	sent   chan *peerv1.FollowResponse
}

func newRecorder() *recorder {
	r := &recorder{sent: make(chan *peerv1.FollowResponse, 100)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *recorder) Context() context.Context { return r.ctx }

func (r *recorder) Send(m *peerv1.FollowResponse) error {
	select {
	case r.sent <- m:
	case <-r.ctx.Done():
	}
	return nil
}
