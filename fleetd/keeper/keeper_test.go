package keeper_test

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/fleetd/keeper"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/peeker"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1000, 0)

// fixture is one control host whose log commits immediately, unless noQuorum is set.
type fixture struct {
	keeper   *keeper.Keeper
	store    *store.Store
	now      time.Time
	status   replica.Status
	noQuorum bool
	local    *store.Local
}

func newFixture() *fixture {
	w := &fixture{now: start, status: replica.Status{Leader: "10.0.0.1", LastLeaderContact: start}}
	clock := func() time.Time { return w.now }
	machine := store.NewMachine()
	w.local = store.NewLocal(machine, clock)
	w.store = store.New(machine, w, clock)
	w.keeper = keeper.New("core-1", "a", netip.MustParseAddrPort("10.0.0.1:80"), "10.0.0.1:7000", w.store, w, clock)
	return w
}

func (w *fixture) Status() replica.Status { return w.status }

var errNoQuorum = errors.New("no majority")

func (w *fixture) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	if w.noQuorum {
		return nil, errNoQuorum
	}
	return w.local.Propose(ctx, c)
}

func (w *fixture) Barrier(context.Context) error {
	if w.noQuorum {
		return errNoQuorum
	}
	return nil
}

func leaf(born, sequence uint64, leaving bool) *enroller.Leaf {
	return &enroller.Leaf{
		Name: "x", Born: born, Sequence: sequence, Service: "desk", Address: netip.MustParseAddrPort("10.0.0.9:80"), Center: "a",
		Slots: 2, Leaving: leaving,
	}
}

// Guards against acknowledging a departure that a crash of this host would lose, and against a late heartbeat that adds
// a departed leaf again.
func TestDepartureIsAcknowledgedWhenItIsRecorded(t *testing.T) {
	ctx := context.Background()
	w := newFixture()
	next, err := w.keeper.Heartbeat(ctx, leaf(5, 1, false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next.String(), qt.Equals, "10.0.0.1:80")
	w.noQuorum = true
	_, err = w.keeper.Heartbeat(ctx, leaf(5, 2, true))
	qt.Assert(t, err, qt.ErrorIs, keeper.ErrUndecided)
	w.noQuorum = false
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

// Another writer sends heartbeats for a service that no configuration names, with the address or the name of a sound leaf.
// Guards against a sound leaf that goes out of use.
func TestHeartbeatOfAnUnknownServiceChangesNoOtherLeaf(t *testing.T) {
	ctx := context.Background()
	w := newFixture()
	decode := func([]byte) (*router.Document, error) {
		return &router.Document{Version: 7, Services: []router.Service{{Name: "desk"}}}, nil
	}
	k := keeper.New("core-1", "a", netip.MustParseAddrPort("10.0.0.1:80"), "10.0.0.1:7000", w.store, w, func() time.Time { return w.now }, keeper.WithDecoder(decode))
	qt.Assert(t, k.Put(ctx, &router.Document{Version: 7}, []byte("seven"), "op"), qt.IsNil)
	_, err := k.Heartbeat(ctx, leaf(5, 1, false))
	qt.Assert(t, err, qt.IsNil)
	address, name, leaving := leaf(9, 1, false), leaf(9, 1, false), leaf(9, 1, true)
	address.Name, address.Service, name.Service, leaving.Service = "odd", "nobody", "nobody", "nobody"
	for _, foreign := range []*enroller.Leaf{address, name, leaving} {
		_, err := k.Heartbeat(ctx, foreign)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, w.store.Departed("x", 5), qt.IsFalse)
	out := newRecorder()
	defer out.cancel()
	go func() { _ = keeper.NewService(k, nil).Follow(&peerv1.FollowRequest{Host: "entry", Center: "a"}, out) }()
	for _, l := range (<-out.sent).GetLeaves() {
		if l.GetLeaf() == "x" {
			qt.Assert(t, l.GetBorn(), qt.Equals, uint64(5))
			qt.Assert(t, l.GetLeaving(), qt.IsFalse)
		}
	}
}

// Guards against a departure without a start time that removes the wrong incarnation.
func TestLeaveWithoutAStartMeansTheKnownIncarnation(t *testing.T) {
	ctx := context.Background()
	w := newFixture()
	_, err := w.keeper.Heartbeat(ctx, leaf(5, 1, false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.keeper.Leave(ctx, "x", 0), qt.IsNil)
	qt.Assert(t, w.store.Departed("x", 5), qt.IsTrue)
	qt.Assert(t, w.store.Departed("x", 6), qt.IsFalse)
}

// Guards against acknowledging a change or a read of the configuration without a majority, and against rejecting a change
// that is sent again.
func TestConfigurationNeedsAMajority(t *testing.T) {
	ctx := context.Background()
	w := newFixture()
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
	w.noQuorum = true
	_, err = w.keeper.Document(ctx)
	qt.Assert(t, err, qt.ErrorIs, keeper.ErrUndecided)
	qt.Assert(t, w.keeper.Put(ctx, &router.Document{Version: 8}, []byte("eight"), "op"), qt.ErrorIs, keeper.ErrUndecided)
}

// Guards against an evacuation that is recorded twice after a resend, or that cannot be undone.
func TestEvacuation(t *testing.T) {
	ctx := context.Background()
	w := newFixture()
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

// newCaller returns the context of a request and a function that closes the caller's connection.
func newCaller(t *testing.T) (context.Context, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return peeker.WithConn(context.Background(), conn), func() {
		qt.Assert(t, caller.Close(), qt.IsNil)
		for !peeker.HasEnded(conn) {
		}
	}
}

// Guards against acknowledging a departure that changes nothing, because this host does not know which incarnation leaves:
// the other hosts go on using the leaf.
func TestDepartureOfAnUnknownLeafIsUndecided(t *testing.T) {
	ctx := context.Background()
	w := newFixture()
	qt.Assert(t, w.keeper.Leave(ctx, "x", 0), qt.ErrorIs, keeper.ErrUndecided)
	qt.Assert(t, w.keeper.Leave(ctx, "x", 5), qt.IsNil)
	qt.Assert(t, w.keeper.Leave(ctx, "x", 0), qt.IsNil)
}

// Guards against a departure that was held up and takes the next incarnation with the same name out of use.
func TestDepartureOfALeafThatHasLeftIsNotCarriedOut(t *testing.T) {
	ctx, hangUp := newCaller(t)
	w := newFixture()
	_, err := w.keeper.Heartbeat(ctx, leaf(6, 1, false))
	qt.Assert(t, err, qt.IsNil)
	hangUp()
	qt.Assert(t, w.keeper.Leave(ctx, "x", 0), qt.ErrorIs, keeper.ErrUndecided)
	qt.Assert(t, w.store.Departed("x", 6), qt.IsFalse)
	qt.Assert(t, w.keeper.Leave(ctx, "x", 6), qt.IsNil)
	qt.Assert(t, w.store.Departed("x", 6), qt.IsTrue)
}

// A control host is frozen while it has an order, and its author moves on to another host. Guards against a host that carries
// the order out when it wakes, before its server has noticed the end of the connection.
func TestOrderOfACallerWhoHasLeftIsNotCarriedOut(t *testing.T) {
	ctx, hangUp := newCaller(t)
	w := newFixture()
	qt.Assert(t, w.keeper.Evacuate(ctx, "b", true, "op"), qt.IsNil)
	hangUp()
	qt.Assert(t, w.keeper.Evacuate(ctx, "b", false, "op"), qt.ErrorIs, keeper.ErrUndecided)
	qt.Assert(t, w.store.View().Evacuated, qt.DeepEquals, []string{"b"})
}

// Guards against a control host that claims to be up to date while it has no contact with a leader or cannot write.
func TestSettled(t *testing.T) {
	w := newFixture()
	qt.Assert(t, w.keeper.Settled(start.Add(600*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, w.keeper.Settled(start.Add(800*time.Millisecond)), qt.IsFalse)
	w.status.Failure = errNoQuorum
	qt.Assert(t, w.keeper.Settled(start), qt.IsFalse)
	w.status = replica.Status{LastLeaderContact: start}
	qt.Assert(t, w.keeper.Settled(start), qt.IsFalse)
}

// Entry hosts join and leave one after the other. Guards against entry hosts of the same or another data centre that do
// not learn of each other, against a departed host that stays listed, against a host that is removed because an older
// stream of it ends, and against sending the complete list at each change.
func TestEntryHostsLearnOfEachOther(t *testing.T) {
	w := newFixture()
	// join returns a function that ends the stream and one that waits until the host knows exactly the given hosts.
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

// recorder is the server side of a stream. It records the messages sent.
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
