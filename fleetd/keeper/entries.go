package keeper

import (
	"slices"
	"time"

	"lycheelift.example/fleetd/linker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// countTime is the time for which what a control host said of its entry hosts holds.
const countTime = 10 * time.Second

// other is what another control host said last.
type other struct {
	entries int
	// hosts are the entry hosts that follow it, none while it cannot be heard.
	hosts   []*peerv1.EntryHost
	heard   time.Time
	center  string
	control string
}

// count notes that an entry host begins (1) or ends (-1) to follow this one.
func (k *Keeper) count(request *peerv1.FollowRequest, change int) {
	if request.GetControl() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followers += change
	if request.GetAddress() == "" {
		return
	}
	k.list = nil
	host := follower{address: request.GetAddress(), center: request.GetCenter()}
	// A host whose stream was lost may follow anew before the loss of the first stream is noticed.
	if k.streams[host] += change; k.streams[host] == 0 {
		delete(k.streams, host)
	}
}

// follower is an entry host that follows this control host.
type follower struct {
	address, center string
}

// entries returns the number of entry hosts that follow any control host, and of those that follow this one.
func (k *Keeper) entries(now time.Time) (all, own uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	total := k.followers
	for _, c := range k.others {
		if now.Sub(c.heard) < countTime {
			total += c.entries
		}
	}
	return uint32(total), uint32(k.followers) //nolint:gosec // Numbers of hosts.
}

// ownHosts lists the entry hosts that follow this control host.
func (k *Keeper) ownHosts() []*peerv1.EntryHost {
	k.mu.Lock()
	defer k.mu.Unlock()
	return sorted(k.own())
}

// hostTime is the time without a message of another control host after which its entry hosts are not listed: two signs of
// life are late. A data centre that is cut off is known sooner than by the end of the stream.
const hostTime = 900 * time.Millisecond

// allHosts lists the entry hosts that can be reached, as far as the control hosts hear them.
func (k *Keeper) allHosts(now time.Time) []*peerv1.EntryHost {
	k.mu.Lock()
	defer k.mu.Unlock()
	heard := make([]string, 0, len(k.others))
	for address, c := range k.others {
		if now.Sub(c.heard) < hostTime {
			heard = append(heard, address)
		}
	}
	slices.Sort(heard)
	if k.list != nil && slices.Equal(heard, k.heard) {
		return k.list
	}
	all := k.own()
	for _, address := range heard {
		all = append(all, k.others[address].hosts...)
	}
	k.list, k.heard = sorted(all), heard
	return k.list
}

// own lists the followers; the lock must be held.
func (k *Keeper) own() []*peerv1.EntryHost {
	out := make([]*peerv1.EntryHost, 0, len(k.streams))
	for f := range k.streams {
		out = append(out, &peerv1.EntryHost{Address: f.address, Center: f.center})
	}
	return out
}

// sorted orders hosts by address and drops those that stand twice.
func sorted(hosts []*peerv1.EntryHost) []*peerv1.EntryHost {
	slices.SortFunc(hosts, linker.ByAddress)
	return slices.CompactFunc(hosts, func(a, b *peerv1.EntryHost) bool { return linker.ByAddress(a, b) == 0 })
}
