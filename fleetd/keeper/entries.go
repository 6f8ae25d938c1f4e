package keeper

import (
	"slices"
	"time"

	"lycheelift.example/fleetd/linker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// entryCountTTL is how long the number of entry hosts reported by another control host stays valid.
const entryCountTTL = 10 * time.Second

// peerStatus is the state last received from another control host.
type peerStatus struct {
	entries int
	// hosts are the entry hosts that follow the control host; empty while it is unreachable.
	hosts    []*peerv1.EntryHost
	lastSeen time.Time
	center   string
	control  string
}

// countFollower records that an entry host has started (1) or stopped (-1) following this control host.
func (k *Keeper) countFollower(request *peerv1.FollowRequest, change int) {
	if request.GetControl() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followers += change
	if request.GetAddress() == "" {
		return
	}
	k.reachable = nil
	host := follower{address: request.GetAddress(), center: request.GetCenter()}
	// A host that lost its stream may open a new one before the end of the old one is detected.
	if k.streams[host] += change; k.streams[host] == 0 {
		delete(k.streams, host)
	}
}

// follower is an entry host that follows this control host.
type follower struct {
	address, center string
}

// countEntries returns the number of entry hosts that follow any control host, and the number that follow this one.
func (k *Keeper) countEntries(now time.Time) (all, own uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	total := k.followers
	for _, c := range k.peers {
		if now.Sub(c.lastSeen) < entryCountTTL {
			total += c.entries
		}
	}
	return uint32(total), uint32(k.followers) //nolint:gosec // Numbers of hosts.
}

// localFollowers returns the entry hosts that follow this control host, sorted by address.
func (k *Keeper) localFollowers() []*peerv1.EntryHost {
	k.mu.Lock()
	defer k.mu.Unlock()
	return sorted(k.listFollowers())
}

// entryListTTL is the time without a message from another control host after which its entry hosts are no longer listed:
// two keepalive messages are then late. This detects a partitioned data centre earlier than the end of the stream does.
const entryListTTL = 900 * time.Millisecond

// reachableEntries returns the entry hosts that follow this control host or one from which messages arrive, sorted by address.
func (k *Keeper) reachableEntries(now time.Time) []*peerv1.EntryHost {
	k.mu.Lock()
	defer k.mu.Unlock()
	live := make([]string, 0, len(k.peers))
	for address, c := range k.peers {
		if now.Sub(c.lastSeen) < entryListTTL {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	if k.reachable != nil && slices.Equal(live, k.reachableVia) {
		return k.reachable
	}
	all := k.listFollowers()
	for _, address := range live {
		all = append(all, k.peers[address].hosts...)
	}
	k.reachable, k.reachableVia = sorted(all), live
	return k.reachable
}

// listFollowers returns the entry hosts that follow this control host. The caller must hold k.mu.
func (k *Keeper) listFollowers() []*peerv1.EntryHost {
	out := make([]*peerv1.EntryHost, 0, len(k.streams))
	for f := range k.streams {
		out = append(out, &peerv1.EntryHost{Address: f.address, Center: f.center})
	}
	return out
}

// sorted sorts hosts by address and removes duplicates.
func sorted(hosts []*peerv1.EntryHost) []*peerv1.EntryHost {
	slices.SortFunc(hosts, linker.ByAddress)
	return slices.CompactFunc(hosts, func(a, b *peerv1.EntryHost) bool { return linker.ByAddress(a, b) == 0 })
}
