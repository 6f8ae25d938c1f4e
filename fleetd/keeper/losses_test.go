package keeper

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// leaderlessLog is a log without a leader.
type leaderlessLog struct{}

func (leaderlessLog) Status() replica.Status { return replica.Status{} }

// control returns a control host and a function that returns the losses in the next message to a follower.
func control(request *peerv1.FollowRequest) (*Keeper, func(now time.Time) []*peerv1.Loss) {
	k := newKeeper()
	k.log = leaderlessLog{}
	k.store = store.New(store.NewMachine(), nil, k.clock)
	f := &stream{keeper: k, request: request, departed: make(map[string]uint64)}
	return k, func(now time.Time) []*peerv1.Loss {
		return f.next(k.store.View(), k.roster.Since(0, request.GetControl()), now).GetLosses()
	}
}

// A request crashes the leaves that run it and arrives at hosts that follow different control hosts. Guards against
// followers that do not receive the reported losses, receive them late, or receive them repeatedly.
func TestLossesReachAllFollowers(t *testing.T) {
	k, entry := control(&peerv1.FollowRequest{Host: "entry"})
	second, entryOfSecond := control(&peerv1.FollowRequest{Host: "other"})
	peer := &stream{keeper: k, request: &peerv1.FollowRequest{Host: "core-2", Control: true}, departed: make(map[string]uint64)}
	qt.Assert(t, entry(begin), qt.HasLen, 0)
	qt.Assert(t, entryOfSecond(begin), qt.HasLen, 0)
	loss := &peerv1.Loss{Fingerprint: 7, Lost: []*statev1.LostRequest{{Id: "a", Began: durationpb.New(time.Second), Ended: durationpb.New(0)}}}
	_, err := NewService(k, nil).ReportLosses(context.Background(), &peerv1.ReportLossesRequest{Losses: []*peerv1.Loss{loss}})
	qt.Assert(t, err, qt.IsNil)
	now := begin.Add(time.Millisecond)
	qt.Assert(t, entry(now), qt.HasLen, 1)
	qt.Assert(t, entry(now.Add(time.Second)), qt.HasLen, 0)
	second.receive("10.0.0.1:7000", peer.next(k.store.View(), k.roster.Since(0, true), now), now)
	received := entryOfSecond(now)
	qt.Assert(t, received, qt.HasLen, 1)
	qt.Assert(t, received[0].GetLost()[0].GetId(), qt.Equals, "a")
	// A loss that is echoed back is not new.
	k.receive("10.0.0.2:7000", &peerv1.FollowResponse{Losses: received}, now)
	qt.Assert(t, entry(now.Add(2*time.Second)), qt.HasLen, 0)
}
