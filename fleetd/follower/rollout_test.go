package follower_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/follower"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func versioned(name, center, address, program string) *peerv1.RosterLeaf {
	l := leaf(name, 1, center, address)
	l.Program = program
	return l
}

func rollout(revision uint64, state statev1.RolloutState, share uint32) *peerv1.Rollouts {
	return &peerv1.Rollouts{Rollouts: []*statev1.Rollout{{
		Service: "desk", Baseline: "v1", Target: "v2", State: state, Share: share, Order: 1, Revision: revision,
	}}}
}

func candidates(f *follower.Follower, drawn float64, now time.Time) []string {
	var out []string
	for _, l := range f.View().Candidates("desk", drawn, now) {
		out = append(out, l.Name)
	}
	return out
}

// Guards against leaves of an ordered version that get requests beyond their share, after a rollback, from a host that has
// lost contact, or because an older message arrives late; and against leaves of an evacuated data centre that get any.
func TestShareOfARollout(t *testing.T) {
	var followed map[string]*statev1.Rollout
	f := follower.New(decode, start, follower.WithRolloutHandler(func(r map[string]*statev1.Rollout, _ time.Time) { followed = r }))
	const state, ended = statev1.RolloutState_ROLLOUT_STATE_RUNNING, statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK
	f.Apply(&peerv1.FollowResponse{Settled: true, Rollouts: rollout(5, state, 100), Leaves: []*peerv1.RosterLeaf{
		versioned("old", "a", "10.0.0.1:1", "v1"), versioned("new", "a", "10.0.0.2:1", "v2"), versioned("far", "b", "10.0.0.3:1", "v2"),
	}, Evacuated: &peerv1.Evacuated{Centers: []string{"b"}}}, start)
	qt.Check(t, candidates(f, 0.09, start), qt.DeepEquals, []string{"new"})
	qt.Check(t, candidates(f, 0.1, start), qt.DeepEquals, []string{"old"})
	qt.Check(t, candidates(f, 0, start.Add(2*time.Second)), qt.DeepEquals, []string{"old"})
	f.Apply(&peerv1.FollowResponse{Settled: true, Rollouts: rollout(6, state, 1000)}, start)
	qt.Check(t, candidates(f, 1, start), qt.DeepEquals, []string{"new"})
	f.Apply(&peerv1.FollowResponse{Settled: true, Rollouts: rollout(7, ended, 0)}, start)
	f.Apply(&peerv1.FollowResponse{Settled: true, Rollouts: rollout(6, state, 1000)}, start)
	qt.Check(t, candidates(f, 0, start), qt.DeepEquals, []string{"old"})
	qt.Check(t, followed["desk"].GetRevision(), qt.Equals, uint64(7))
	f.Apply(&peerv1.FollowResponse{Settled: true, Leaves: []*peerv1.RosterLeaf{{Leaf: "old", Born: 1, Leaving: true}}}, start)
	qt.Check(t, candidates(f, 1, start), qt.DeepEquals, []string{"new"}, qt.Commentf("the service has no other leaf"))
}

// Guards against leaves of a version that nobody ordered and that get requests while leaves of the version in use are there,
// and against deployments without versions in use that lose leaves.
func TestUnorderedVersion(t *testing.T) {
	f := follower.New(decode, start)
	f.Apply(&peerv1.FollowResponse{Settled: true, Leaves: []*peerv1.RosterLeaf{
		versioned("old", "a", "10.0.0.1:1", "v1"), versioned("new", "a", "10.0.0.2:1", "v2"),
	}}, start)
	qt.Check(t, candidates(f, 0, start), qt.HasLen, 2)
	f.Apply(&peerv1.FollowResponse{Settled: true, Rollouts: &peerv1.Rollouts{Rollouts: []*statev1.Rollout{{Service: "desk", Baseline: "v1", Revision: 3}}}}, start)
	qt.Check(t, candidates(f, 0, start), qt.DeepEquals, []string{"old"})
}
