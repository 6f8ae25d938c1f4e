package keeper

import (
	"slices"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/controld/store"
	"lycheelift.example/fleetd/linker"
	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// batchDelay is how long changes are collected before they are sent in one message.
const batchDelay = 5 * time.Millisecond

// checkInterval is the time between checks that this host is still in contact with a leader.
const checkInterval = 100 * time.Millisecond

// Service is the gRPC service for the hosts that follow a keeper.
type Service struct {
	peerv1.UnimplementedFollowServiceServer
	peerv1.UnimplementedTrialServiceServer

	keeper *Keeper
	// stopping ends all streams when closed, so that followers switch to another control host immediately.
	stopping <-chan struct{}
}

// NewService returns the service of a keeper. All streams end when stopping is closed.
func NewService(k *Keeper, stopping <-chan struct{}) *Service {
	return &Service{keeper: k, stopping: stopping}
}

// stream tracks what has been sent to one follower.
type stream struct {
	keeper   *Keeper
	request  *peerv1.FollowRequest
	version  uint64
	revision uint64
	started  bool
	settled  bool
	isolated bool
	entries  uint32
	controls int
	hosts    []*peerv1.EntryHost
	centers  []string
	// listed is the index with which the evacuated data centres were last sent.
	listed   uint64
	departed map[string]uint64
	// losses is the revision of the loss ledger up to which losses have been sent.
	losses uint64
	// toldLosses is when losses were sent last.
	toldLosses time.Time
	sent       time.Time
	// rollouts are the rollouts sent last.
	rollouts []*statev1.Rollout
}

// Follow sends the current state of this host and then every change.
func (s *Service) Follow(request *peerv1.FollowRequest, out peerv1.FollowService_FollowServer) error {
	k := s.keeper
	eventer.FollowerJoined.Log(k.clock(), "host", request.GetHost(), "center", request.GetCenter(), "control", request.GetControl(), "version", request.GetVersion())
	k.noteContact(request.GetCenter(), k.clock())
	k.countFollower(request, 1)
	defer func() {
		k.countFollower(request, -1)
		eventer.FollowerLeft.Log(k.clock(), "host", request.GetHost())
	}()
	f := &stream{keeper: k, request: request, version: request.GetVersion(), departed: make(map[string]uint64)}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		heard, lost := k.leader.heard(), f.lossChanged(k.clock())
		view, batch := k.store.View(), k.roster.Since(f.revision, request.GetControl())
		if m := f.next(view, batch, k.clock()); m != nil {
			if err := out.Send(m); err != nil {
				return oops.In("keeper").Wrapf(err, "send")
			}
		}
		select {
		case <-out.Context().Done():
			return nil
		case <-s.stopping:
			return nil
		case <-view.Changed:
			time.Sleep(batchDelay)
		case <-batch.Changed:
			time.Sleep(batchDelay)
		case <-heard:
		case <-lost:
		case <-ticker.C:
		}
	}
}

// lossChanged returns a channel that is closed when losses have changed. After a message with losses it returns nil for
// checkInterval, so that many losses are sent together.
func (f *stream) lossChanged(now time.Time) <-chan struct{} {
	if now.Sub(f.toldLosses) < checkInterval {
		return nil
	}
	return f.keeper.losses.Changed()
}

// next returns the next message for the follower, or nil if there is nothing to send.
func (f *stream) next(view store.View, batch enroller.Batch, now time.Time) *peerv1.FollowResponse {
	m := &peerv1.FollowResponse{Index: view.Index, Settled: f.keeper.Settled(now), Alone: f.keeper.isolated(now)}
	changed := !f.started || m.GetSettled() != f.settled || m.GetAlone() != f.isolated || now.Sub(f.sent) >= linker.KeepaliveInterval
	if len(batch.Leaves) > 0 {
		for _, l := range batch.Leaves {
			m.Leaves = append(m.Leaves, enroller.Encode(l, now))
		}
		m.Whole = batch.Complete
		changed = true
	}
	if f.request.GetControl() {
		m.Center, m.Control = f.keeper.center, f.keeper.controlAddress.String()
	} else {
		changed = f.addState(m, view) || changed
	}
	f.keeper.adoptBlocks(view, now)
	losses, revision := f.keeper.losses.Since(f.losses, now)
	for _, l := range losses {
		m.Losses = append(m.Losses, suspector.Encode(l, now))
		changed, f.toldLosses = true, now
	}
	m.Entries, m.Followers = f.keeper.countEntries(now)
	if controls := f.keeper.controlHosts(); !f.started || len(controls) != f.controls || now.Sub(f.sent) >= linker.KeepaliveInterval {
		m.Controls = controls
		f.controls = len(controls)
	}
	changed = f.addEntryHosts(m, now) || m.GetEntries() != f.entries || changed
	if !changed {
		return nil
	}
	if m.GetEvacuated() != nil {
		f.centers, f.listed = view.Evacuated, view.Index
	}
	f.started, f.settled, f.isolated, f.revision, f.entries, f.sent = true, m.GetSettled(), m.GetAlone(), batch.Revision, m.GetEntries(), now
	f.losses = revision
	return m
}

// addEntryHosts adds the changes of the list of entry hosts since the last message. It reports whether there are any.
func (f *stream) addEntryHosts(m *peerv1.FollowResponse, now time.Time) bool {
	var hosts []*peerv1.EntryHost
	if f.request.GetControl() {
		hosts = f.keeper.localFollowers()
	} else {
		hosts = f.keeper.reachableEntries(now)
	}
	if !f.started {
		m.Hosts = &peerv1.EntryHosts{Hosts: hosts, Whole: true}
	} else {
		m.Hosts = linker.Diff(f.hosts, hosts)
	}
	f.hosts = hosts
	return m.Hosts != nil
}

// addState adds the parts of the replicated state that entry hosts use, as far as they have changed since the last
// message. It reports whether there are any.
func (f *stream) addState(m *peerv1.FollowResponse, view store.View) bool {
	changed := false
	if view.Document.GetVersion() > f.version {
		m.Document = view.Document
		f.version = view.Document.GetVersion()
		changed = true
	}
	// A follower ignores a list with a lower index than it has seen, so the list is sent again with each higher one. That alone
	// does not cause a message.
	if same := f.started && slices.Equal(f.centers, view.Evacuated); !same || view.Index > f.listed {
		m.Evacuated = &peerv1.Evacuated{Centers: view.Evacuated}
		changed = changed || !same
	}
	if len(view.Rollouts) > 0 && !slices.Equal(f.rollouts, view.Rollouts) {
		m.Rollouts = &peerv1.Rollouts{Rollouts: changedRollouts(f.rollouts, view.Rollouts)}
		f.rollouts = view.Rollouts
		changed = true
	}
	for leaf, born := range view.Departures {
		if f.departed[leaf] < born {
			m.Leaves = append(m.Leaves, &peerv1.RosterLeaf{Leaf: leaf, Born: born, Leaving: true})
			changed = true
		}
	}
	f.departed = view.Departures
	return changed
}

// changedRollouts returns the rollouts that have not been sent.
func changedRollouts(sent, all []*statev1.Rollout) []*statev1.Rollout {
	known := make(map[*statev1.Rollout]bool, len(sent))
	for _, r := range sent {
		known[r] = true
	}
	return slices.DeleteFunc(slices.Clone(all), func(r *statev1.Rollout) bool { return known[r] })
}
