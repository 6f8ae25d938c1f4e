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
	// peersInterval is the time between checks for control hosts that are not followed yet.
	peersInterval = 200 * time.Millisecond
	// reconnectDelay is the wait before the connection to a lost control host is opened again.
	reconnectDelay = 200 * time.Millisecond
)

// controlHosts returns the control hosts that followers may connect to: the members of the replication group.
func (k *Keeper) controlHosts() []*peerv1.ControlHost {
	out := []*peerv1.ControlHost{{Address: k.peerAddress, Center: k.center}}
	for _, m := range k.log.Status().Members.GetReplicas() {
		if m.GetAddress() != k.peerAddress {
			out = append(out, &peerv1.ControlHost{Address: m.GetAddress(), Center: m.GetCenter()})
		}
	}
	return out
}

// FollowPeers follows every other control host until ctx ends. seeds returns addresses in addition to those of the
// members.
func (k *Keeper) FollowPeers(ctx context.Context, seeds func() []string) {
	var running sync.WaitGroup
	defer running.Wait()
	var mu sync.Mutex
	followed := make(map[string]bool)
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		for _, address := range k.peerAddresses(seeds()) {
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

// peerAddresses returns the addresses of the other control hosts, sorted.
func (k *Keeper) peerAddresses(seeds []string) []string {
	out := make(map[string]bool)
	for _, h := range k.controlHosts() {
		out[h.GetAddress()] = true
	}
	for _, address := range seeds {
		out[address] = true
	}
	delete(out, k.peerAddress)
	return slices.Sorted(maps.Keys(out))
}

// followPeer applies the state that another control host streams, until the stream ends.
func (k *Keeper) followPeer(ctx context.Context, address string) {
	connected := false
	err := linker.Follow(ctx, address, &peerv1.FollowRequest{Host: k.host, Center: k.center, Control: true}, func(m *peerv1.FollowResponse) error {
		if !connected {
			connected = true
			eventer.ControlFollowed.Log(k.clock(), "control", address, "settled", m.GetSettled(), "index", m.GetIndex(), "leaves", len(m.GetLeaves()))
		}
		k.receive(address, m, k.clock())
		return nil
	})
	k.markUnreachable(address)
	if connected && ctx.Err() == nil {
		eventer.ControlLost.Log(k.clock(), "control", address, "error", err.Error())
	}
	select {
	case <-ctx.Done():
	case <-time.After(reconnectDelay):
	}
}

// isolationTimeout is the time without a message from another data centre after which this host counts as isolated.
// Control hosts send at least one message every linker.KeepaliveInterval.
const isolationTimeout = time.Second

// isolated reports whether this host knows control hosts of other data centres but receives nothing from outside its own
// data centre: no message from a control host and no contact by a leaf or an entry host. If only the remote control hosts
// have failed, their leaves and entry hosts contact this host within a second or two.
func (k *Keeper) isolated(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := false
	for _, o := range k.peers {
		if o.center == k.center {
			continue
		}
		known = true
		if now.Sub(o.lastSeen) < isolationTimeout {
			return false
		}
	}
	return known && now.Sub(k.lastRemoteContact) >= isolationTimeout
}

// noteContact records that a leaf or an entry host of a data centre has contacted this host.
func (k *Keeper) noteContact(center string, now time.Time) {
	if center == k.center {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRemoteContact = now
}

// markUnreachable records that a control host is unreachable. The entry hosts that follow it may be unreachable too, so
// they are dropped; they are listed again as soon as they follow another control host.
func (k *Keeper) markUnreachable(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.peers[address]; ok {
		o.hosts, k.reachable = nil, nil
		k.peers[address] = o
	}
}

// storedDepartures looks up departures in the replicated state. Changes of leaves that other control hosts report are not
// logged here, because the control host that received them first logs them.
type storedDepartures struct {
	store interface {
		Departed(name string, born uint64) bool
	}
}

// IsDeparted reports whether the departure of an incarnation is recorded.
func (r storedDepartures) IsDeparted(name string, born uint64) bool {
	return r.store.Departed(name, born)
}

// OnDeparture does nothing.
func (storedDepartures) OnDeparture(string, uint64, time.Time) {}

// OnChange does nothing.
func (storedDepartures) OnChange(*enroller.Leaf, time.Time) {}

// receive applies a message of another control host.
func (k *Keeper) receive(address string, m *peerv1.FollowResponse, now time.Time) {
	k.mergeLosses(m.GetLosses(), now)
	k.roster.Receive(m.GetLeaves(), storedDepartures{k.store}, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	peer := k.peers[address]
	peer.entries, peer.lastSeen, peer.center, peer.control = int(m.GetFollowers()), now, m.GetCenter(), m.GetControl()
	if h := m.GetHosts(); h != nil {
		peer.hosts, k.reachable = h.GetHosts(), nil
	}
	k.peers[address] = peer
}
