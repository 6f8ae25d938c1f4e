package keeper

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/quarantiner"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// group is a group of control hosts with one replicated log. Its entry hosts follow one of them each.
type group struct {
	t        *testing.T
	now      time.Time
	log      []*statev1.Command
	noQuorum bool
	controls []*member
	entries  []*entryHost
	attempts int
}

// member is one control host of a group.
type member struct {
	*group

	position int
	machine  *store.Machine
	keeper   *Keeper
	// told is what each other control host has told this one.
	told []*stream
}

// entryHost is one entry host. It follows the control host in the position of its own, modulo their number.
type entryHost struct {
	suspects *suspector.Suspector
	follows  *stream
}

func newGroup(t *testing.T, controls, entries int) *group {
	g := &group{t: t, now: begin, controls: make([]*member, controls), entries: make([]*entryHost, entries)}
	for i := range controls {
		g.startControl(i)
	}
	for i := range entries {
		g.startEntry(i)
	}
	g.settle(time.Second)
	return g
}

// Status returns the state of a member of which the first leads.
func (m *member) Status() replica.Status {
	return replica.Status{Leading: m.position == 0, Leader: "core-1", LastLeaderContact: m.now}
}

var errNoMajority = errors.New("no majority")

// Propose appends a command to the log of the group.
func (m *member) Propose(_ context.Context, c *statev1.Command) (*statev1.Result, error) {
	if m.noQuorum {
		return nil, errNoMajority
	}
	m.log = append(m.log, c)
	return m.machine.Apply(uint64(len(m.log)), c), nil
}

// Barrier does nothing.
func (*member) Barrier(context.Context) error { return nil }

// startControl starts a control host, or starts it anew after it was killed. It has its disk and nothing else.
func (g *group) startControl(i int) {
	m := &member{group: g, position: i, machine: store.NewMachine(), told: make([]*stream, len(g.controls))}
	m.keeper = newKeeper()
	m.keeper.clock, m.keeper.log = func() time.Time { return g.now }, m
	m.keeper.store = store.New(m.machine, m, m.keeper.clock)
	g.controls[i] = m
	m.catchUp()
	for _, other := range g.controls {
		if other != nil {
			other.told[i] = nil
		}
	}
}

// catchUp applies the log.
func (m *member) catchUp() {
	for i := m.keeper.store.View().Index; i < uint64(len(m.log)); i++ {
		m.machine.Apply(i+1, m.log[i])
	}
}

// startEntry starts an entry host. It serves once it has had a message of the control host that it follows.
func (g *group) startEntry(i int) {
	arbiter := func(ctx context.Context, in *peerv1.TryRequest) (*peerv1.TryResponse, error) {
		return NewService(g.controls[1].keeper, nil).Try(ctx, in)
	}
	g.entries[i] = &entryHost{suspects: suspector.New(suspector.WithArbiter(arbiter))}
}

// follow returns the next message of a control host on a stream, which is opened if it is nil.
func (m *member) follow(f **stream, request *peerv1.FollowRequest) *peerv1.FollowResponse {
	if *f == nil || (*f).keeper != m.keeper {
		*f = &stream{keeper: m.keeper, request: request, departed: make(map[string]uint64)}
	}
	return (*f).next(m.keeper.store.View(), enroller.Batch{}, m.now)
}

// settle lets hosts tell each other what they know, and the leader record it, for a time.
func (g *group) settle(time time.Duration) {
	for range 4 {
		g.now = g.now.Add(time / 4)
		for _, m := range g.controls {
			m.catchUp()
			for j, other := range g.controls {
				if other != m {
					m.keeper.receive(fmt.Sprint(j), orEmpty(other.follow(&m.told[j], &peerv1.FollowRequest{Control: true})), g.now)
				}
			}
			m.keeper.recordBlocks(context.Background(), g.now)
		}
		for i, e := range g.entries {
			e.suspects.Merge(orEmpty(g.controls[i%len(g.controls)].follow(&e.follows, &peerv1.FollowRequest{})).GetLosses(), g.now)
		}
	}
}

func orEmpty(m *peerv1.FollowResponse) *peerv1.FollowResponse {
	if m == nil {
		return &peerv1.FollowResponse{}
	}
	return m
}

// try sends the request that crashes its leaves to an entry host and reports whether it reached leaves. If it did, the loss is
// reported to the control host that the entry host follows.
func (g *group) try(i int) bool {
	e := g.entries[i]
	g.attempts++
	r := &carrier.Request{ID: fmt.Sprint(g.attempts), Method: "GET", Host: "n", Target: "/a", Received: g.now}
	if e.suspects.Blocked(r, g.now) > 0 {
		return false
	}
	end, wait := e.suspects.Begin(context.Background(), r, g.now.Add(time.Second), g.now)
	if wait > 0 {
		return false
	}
	g.now = g.now.Add(time.Millisecond)
	e.suspects.ReportLost(r, g.now)
	ctx, cancel := context.WithCancel(context.Background())
	e.suspects.Run(ctx, func(_ context.Context, losses []*peerv1.Loss) error {
		defer cancel()
		_, err := NewService(g.controls[i%len(g.controls)].keeper, nil).ReportLosses(context.Background(), &peerv1.ReportLossesRequest{Losses: losses})
		return err
	}, func() time.Time { return g.now })
	if end != nil {
		end(g.now)
		synctest.Wait() // The arbiter has been told.
	}
	return true
}

// storm sends the request to each entry host in turn and returns how many times it reached leaves.
func (g *group) storm(rounds int) int {
	reached := 0
	for range rounds {
		for i := range g.entries {
			if g.try(i) {
				reached++
			}
			g.settle(20 * time.Millisecond)
		}
	}
	return reached
}

// block sends the request until it is refused.
func (g *group) block() {
	qt.Assert(g.t, g.storm(3) <= 3, qt.IsTrue)
	g.settle(time.Second)
	qt.Assert(g.t, g.storm(1), qt.Equals, 0)
}

// kill kills all hosts and starts them.
func (g *group) kill() {
	for i := range g.controls {
		g.startControl(i)
	}
	for i := range g.entries {
		g.startEntry(i)
	}
	g.settle(4 * time.Second)
}

// All processes are killed after a request that crashes its leaves was refused. Guards against hosts that know nothing of it, so that
// it reaches leaves from each of them.
func TestBlockSurvivesTheLossOfAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 6)
		g.block()
		reached := 0
		for range 5 {
			g.kill()
			reached += g.storm(3)
		}
		qt.Assert(t, reached, qt.Equals, 2)
	})
}

// Hosts are killed one after the other, in any order, some twice. Guards against a block that is lost because the hosts that know it
// are killed in turn.
func TestBlockSurvivesKillsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, order := range [][]int{{0, 1, 2, 3, 4, 5, 6, 7, 8}, {8, 7, 6, 5, 4, 3, 2, 1, 0}, {0, 3, 0, 6, 1, 4, 1, 7, 2, 5, 2, 8}, {3, 4, 5, 6, 7, 8, 2, 1, 0, 0, 3}} {
			g := newGroup(t, 3, 6)
			g.block()
			reached := 0
			for _, i := range order {
				if i < 3 {
					g.startControl(i)
				} else {
					g.startEntry(i - 3)
				}
				g.settle(500 * time.Millisecond)
				reached += g.storm(1)
			}
			qt.Assert(t, reached, qt.Equals, 0, qt.Commentf("%v", order))
		}
	})
}

// No majority of the control hosts is left when a request is lost for the third time. Guards against a block that is not recorded once
// there is a majority again, and against entry hosts that run the request meanwhile.
func TestBlockWithoutAMajorityIsRecordedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 6)
		g.noQuorum = true
		g.block()
		qt.Assert(t, g.log, qt.HasLen, 0)
		g.noQuorum = false
		g.settle(time.Second)
		qt.Assert(t, g.log, qt.HasLen, 1)
		g.kill()
		qt.Assert(t, g.storm(3), qt.Equals, 1)
	})
}

// Many different requests are lost, as when connections are reset, and a few are blocked. Guards against a record for each loss, for each
// host or for each check, and against records that stay for ever.
func TestOneRecordForABlockAndNoneForALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 6)
		leader := g.controls[0].keeper
		for f := range uint64(500) {
			leader.losses.RecordLoss(f, "a", g.now, g.now)
			g.settle(10 * time.Millisecond)
		}
		qt.Assert(t, g.log, qt.HasLen, 0)
		g.block()
		qt.Assert(t, g.log, qt.HasLen, 1)
		lost := g.log[0].GetBlocks().GetSet()[0].GetLost()
		qt.Assert(t, lost, qt.HasLen, 3)
		qt.Assert(t, lost[0].GetId(), qt.Equals, "1")
		g.settle(quarantiner.BlockTime - 20*time.Second)
		qt.Assert(t, g.log, qt.HasLen, 1)
		g.settle(30 * time.Second)
		qt.Assert(t, g.log, qt.HasLen, 2)
		qt.Assert(t, g.controls[0].keeper.store.View().Blocks, qt.HasLen, 0)
	})
}

// A request is answered after a restart. Guards against a record that outlives its block.
func TestAnswerRemovesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 6)
		g.block()
		g.kill()
		r := &carrier.Request{ID: "answered", Method: "GET", Host: "n", Target: "/a", Received: g.now}
		g.entries[0].suspects.ReportAnswered(r, g.now)
		ctx, cancel := context.WithCancel(context.Background())
		g.entries[0].suspects.Run(ctx, func(_ context.Context, losses []*peerv1.Loss) error {
			defer cancel()
			_, err := NewService(g.controls[0].keeper, nil).ReportLosses(context.Background(), &peerv1.ReportLossesRequest{Losses: losses})
			return err
		}, func() time.Time { return g.now })
		g.settle(time.Second)
		qt.Assert(t, g.controls[2].keeper.store.View().Blocks, qt.HasLen, 0)
		for _, e := range g.entries {
			end, wait := e.suspects.Begin(context.Background(), r, g.now.Add(time.Second), g.now)
			qt.Assert(t, end, qt.IsNil)
			qt.Assert(t, wait, qt.Equals, time.Duration(0))
		}
	})
}

// Guards against an entry host that has a configuration, and serves, before it knows the blocks.
func TestFirstMessageHoldsTheBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 6)
		g.block()
		_, err := g.controls[0].Propose(context.Background(), &statev1.Command{Kind: &statev1.Command_Document{Document: &statev1.Document{Version: 7}}})
		qt.Assert(t, err, qt.IsNil)
		for i := range g.controls {
			g.startControl(i)
			var f *stream
			m := g.controls[i].follow(&f, &peerv1.FollowRequest{})
			qt.Assert(t, m.GetDocument().GetVersion(), qt.Equals, uint64(7))
			qt.Assert(t, m.GetLosses(), qt.HasLen, 1)
		}
	})
}

// A request crashes its leaves and is sent to another host some milliseconds later. Guards against hosts that hear of the first loss only
// at the next check, and against a message for each loss when there are many.
func TestStreamsAreWokenByTheFirstLoss(t *testing.T) {
	k, next := control(&peerv1.FollowRequest{Host: "entry"})
	next(begin)
	f := &stream{keeper: k}
	changed := f.lossChanged(begin)
	k.losses.RecordLoss(7, "a", begin, begin)
	select {
	case <-changed:
	default:
		t.Fatal("the stream is not woken")
	}
	f.toldLosses = begin
	qt.Assert(t, f.lossChanged(begin.Add(checkInterval-1)), qt.IsNil)
	qt.Assert(t, f.lossChanged(begin.Add(checkInterval)), qt.IsNotNil)
}

// More fingerprints are blocked than are recorded. Guards against a command at each check that changes nothing.
func TestBlocksBeyondTheLimitAreNotProposedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 0)
		for f := range uint64(quarantiner.MaxBlocks + 50) {
			for i := range 3 {
				g.now = g.now.Add(time.Millisecond)
				g.controls[0].keeper.losses.RecordLoss(f, fmt.Sprint(i), g.now, g.now)
			}
		}
		g.settle(time.Second)
		qt.Assert(t, g.log, qt.HasLen, 1)
		qt.Assert(t, g.controls[0].keeper.store.View().Blocks, qt.HasLen, quarantiner.MaxBlocks)
		for range 10 {
			g.settle(time.Second)
		}
		qt.Assert(t, g.log, qt.HasLen, 1)
	})
}
