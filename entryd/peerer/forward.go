package peerer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/ranker"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// forwardTimeout bounds the forwarding of an announcement to one host.
	forwardTimeout = 300 * time.Millisecond
	// forwardCopies is the number of hosts of the leaf's cell that must receive an announcement: the owner and the host
	// that takes over when the owner fails. The other hosts learn of the leaf from the owner's catalogue record.
	forwardCopies = 2
	// avoidDuration is how long a host that did not answer is tried only after the others.
	avoidDuration = 2 * time.Second
	// copyInterval is the minimum time between two copies of an unchanged announcement from the leaf's owner. With
	// announcements every 500 ms, a copy is sent every 1.5 s, which is within the announcement lease of 2 s. A lost
	// copy only hides the leaf from hosts that do not own it, until the next copy.
	copyInterval = 1400 * time.Millisecond
	// maxLastCopies bounds the number of leaves in lastCopies. At the design size, a host owns about 6 leaves.
	maxLastCopies = 4096
)

// Forwarder forwards announcements to hosts of the leaf's cell.
type Forwarder struct {
	self  string
	dial  *Dialer
	owner func(leaf string) (string, bool)
	clock func() time.Time

	mu         sync.Mutex
	avoidUntil map[string]time.Time
	lastCopies map[string]copyRecord
}

// copyRecord describes the last forwarded announcement of a leaf that this host owns.
type copyRecord struct {
	at          time.Time
	contentHash uint64
}

// NewForwarder returns a forwarder. The owner function returns the published owner of a leaf.
func NewForwarder(self string, dial *Dialer, owner func(string) (string, bool), clock func() time.Time) *Forwarder {
	return &Forwarder{self: self, dial: dial, owner: owner, clock: clock, avoidUntil: make(map[string]time.Time), lastCopies: make(map[string]copyRecord)}
}

// Forward sends an announcement, in the background, to the published owner and to the first forwardCopies hosts in
// rendezvous order that answer. This host and the owner count as copies if they are among them.
func (f *Forwarder) Forward(ctx context.Context, a *backendv1.AnnounceRequest) {
	cell, ok := ranker.Locate(a.GetLeaf(), a.GetCenter(), f.dial.follow.View().Cells)
	if !ok {
		return
	}
	if f.isRedundant(a) {
		return
	}
	order := f.unresponsiveLast(ranker.Order(a.GetLeaf(), cell.Hosts))
	go func() {
		done := map[string]bool{f.self: true}
		if owner, ok := f.owner(a.GetLeaf()); ok && !done[owner] {
			done[owner] = f.send(ctx, owner, a)
		}
		copies := 0
		for _, host := range order {
			if done[host] || f.send(ctx, host, a) {
				copies++
			}
			if copies == forwardCopies {
				return
			}
		}
	}()
}

// isRedundant reports whether a copy would be redundant: this host owns the leaf and has forwarded the same content within
// copyInterval. Otherwise it records the announcement as forwarded.
func (f *Forwarder) isRedundant(a *backendv1.AnnounceRequest) bool {
	if owner, ok := f.owner(a.GetLeaf()); !ok || owner != f.self {
		return false
	}
	now, signature := f.clock(), contentHash(a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.lastCopies[a.GetLeaf()]; ok && last.contentHash == signature && now.Sub(last.at) < copyInterval {
		return true
	}
	if len(f.lastCopies) >= maxLastCopies {
		clear(f.lastCopies)
	}
	f.lastCopies[a.GetLeaf()] = copyRecord{at: now, contentHash: signature}
	return false
}

// contentHash returns a hash of an announcement without its sequence and load, which change every time.
func contentHash(a *backendv1.AnnounceRequest) uint64 {
	stripped := proto.CloneOf(a)
	stripped.Sequence, stripped.Load = 0, 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(stripped)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// unresponsiveLast moves hosts that recently did not answer to the end.
func (f *Forwarder) unresponsiveLast(hosts []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var first, last []string
	for _, h := range hosts {
		if now.Before(f.avoidUntil[h]) {
			last = append(last, h)
			continue
		}
		first = append(first, h)
	}
	return append(first, last...)
}

func (f *Forwarder) send(ctx context.Context, host string, a *backendv1.AnnounceRequest) bool {
	conn, err := f.dial.Dial(host)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err = peerv1.NewPeerServiceClient(conn).Forward(ctx, &peerv1.ForwardRequest{Announcements: []*backendv1.AnnounceRequest{a}})
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.avoidUntil[host] = f.clock().Add(avoidDuration)
		return false
	}
	delete(f.avoidUntil, host)
	return true
}
