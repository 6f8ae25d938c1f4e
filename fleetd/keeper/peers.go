package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// peersInterval is the time between two looks for control hosts that are not followed yet.
	peersInterval = 200 * time.Millisecond
	// againInterval is the wait before a control host that was lost is followed again.
	againInterval = 200 * time.Millisecond
)

// hosts returns the control hosts that followers may turn to: the members of the group.
func (k *Keeper) hosts() []*peerv1.ControlHost {
	out := []*peerv1.ControlHost{{Address: k.peer, Center: k.center}}
	for _, m := range k.log.Status().Members.GetReplicas() {
		if m.GetAddress() != k.peer {
			out = append(out, &peerv1.ControlHost{Address: m.GetAddress(), Center: m.GetCenter()})
		}
	}
	return out
}

// FollowPeers follows every other control host until ctx ends. Seeds returns addresses besides those of the members.
func (k *Keeper) FollowPeers(ctx context.Context, seeds func() []string) {
	var running sync.WaitGroup
	defer running.Wait()
	var mu sync.Mutex
	followed := make(map[string]bool)
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		for _, address := range k.peers(seeds()) {
			mu.Lock()
			known := followed[address]
			followed[address] = true
			mu.Unlock()
			if known {
				continue
			}
			running.Go(func() {
				k.followPeer(ctx, address)
				mu.Lock()
				delete(followed, address)
				mu.Unlock()
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// peers lists the addresses of the other control hosts.
func (k *Keeper) peers(seeds []string) []string {
	out := make(map[string]bool)
	for _, h := range k.hosts() {
		out[h.GetAddress()] = true
	}
	for _, address := range seeds {
		out[address] = true
	}
	delete(out, k.peer)
	return slices.Sorted(maps.Keys(out))
}

// followPeer takes another control host's roster for as long as it can be heard.
func (k *Keeper) followPeer(ctx context.Context, address string) {
	heard := false
	err := linker.Follow(ctx, address, &peerv1.FollowRequest{Host: k.host, Center: k.center, Control: true}, func(m *peerv1.FollowResponse) error {
		if !heard {
			heard = true
			eventer.ControlFollowed.Log(k.clock(), "control", address, "settled", m.GetSettled(), "index", m.GetIndex(), "leaves", len(m.GetLeaves()))
		}
		k.take(address, m, k.clock())
		return nil
	})
	k.unheard(address)
	if heard && ctx.Err() == nil {
		eventer.ControlLost.Log(k.clock(), "control", address, "error", err.Error())
	}
	select {
	case <-ctx.Done():
	case <-time.After(againInterval):
	}
}

// aloneTime is the time without a sign of another data centre after which this host is alone. Control hosts send one at
// least each linker.Interval.
const aloneTime = time.Second

// alone reports whether this host hears nothing of other data centres, of which it has heard control hosts before: no
// control host, and neither a leaf nor an entry host that turns to this one. When the control hosts elsewhere are lost,
// those do within a second or two.
func (k *Keeper) alone(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := false
	for _, o := range k.others {
		if o.center == k.center {
			continue
		}
		known = true
		if now.Sub(o.heard) < aloneTime {
			return false
		}
	}
	return known && now.Sub(k.elsewhere) >= aloneTime
}

// hear notes that a leaf or an entry host of a data centre turns to this host.
func (k *Keeper) hear(center string, now time.Time) {
	if center == k.center {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.elsewhere = now
}

// unheard notes that a control host cannot be heard: the entry hosts that follow it may be out of reach too. They are
// heard of again as soon as they follow another one.
func (k *Keeper) unheard(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.others[address]; ok {
		o.hosts, k.list = nil, nil
		k.others[address] = o
	}
}

// recorded knows departures by the replicated log. What other control hosts say of leaves is logged where it was heard.
type recorded struct {
	store interface {
		Departed(name string, born uint64) bool
	}
}

// Departed reports whether an incarnation is recorded to have left.
func (r recorded) Departed(name string, born uint64) bool { return r.store.Departed(name, born) }

// Left does nothing.
func (recorded) Left(string, uint64, time.Time) {}

// Known does nothing.
func (recorded) Known(*enroller.Leaf, time.Time) {}

// take takes a message of another control host.
func (k *Keeper) take(address string, m *peerv1.FollowResponse, now time.Time) {
	k.learn(m.GetLosses(), now)
	k.roster.Take(m.GetLeaves(), recorded{k.store}, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	other := k.others[address]
	other.entries, other.heard, other.center, other.control = int(m.GetFollowers()), now, m.GetCenter(), m.GetControl()
	if h := m.GetHosts(); h != nil {
		other.hosts, k.list = h.GetHosts(), nil
	}
	k.others[address] = other
}
