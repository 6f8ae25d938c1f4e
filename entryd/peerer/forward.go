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
	// forwardTimeout bounds the passing on of an announcement to one host.
	forwardTimeout = 300 * time.Millisecond
	// forwardCopies is the number of hosts of the leaf's cell that an announcement must reach: the owner and the
	// host that takes over when the owner dies. All others learn of the leaf from the owner's record.
	forwardCopies = 2
	// avoidTime is the time for which a host that did not answer is asked last.
	avoidTime = 2 * time.Second
	// copyInterval is the least time between two copies of an unchanged announcement from the leaf's owner. With
	// announcements every 500 ms a copy goes out each 1.5 s, within an announcement lease of 2 s. A lost copy only
	// hides the leaf from hosts that do not own it, until the next one.
	copyInterval = 1400 * time.Millisecond
	// maxCopied bounds the leaves remembered; an owner at the design size has about 6.
	maxCopied = 4096
)

// Forwarder passes announcements to the hosts of the leaf's cell.
type Forwarder struct {
	self  string
	dial  *Dialer
	owner func(leaf string) (string, bool)
	clock func() time.Time

	mu     sync.Mutex
	avoid  map[string]time.Time
	copied map[string]copied
}

// copied is what was last passed on of a leaf that this host looks after.
type copied struct {
	at        time.Time
	signature uint64
}

// NewForwarder returns a forwarder; owner returns the published owner of a leaf.
func NewForwarder(self string, dial *Dialer, owner func(string) (string, bool), clock func() time.Time) *Forwarder {
	return &Forwarder{self: self, dial: dial, owner: owner, clock: clock, avoid: make(map[string]time.Time), copied: make(map[string]copied)}
}

// Forward passes an announcement to the published owner and to the first hosts in rendezvous order that answer.
func (f *Forwarder) Forward(ctx context.Context, a *backendv1.AnnounceRequest) {
	cell, ok := ranker.Locate(a.GetLeaf(), a.GetCenter(), f.dial.follow.View().Cells)
	if !ok {
		return
	}
	if f.spare(a) {
		return
	}
	order := f.order(ranker.Order(a.GetLeaf(), cell.Hosts))
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

// spare reports whether a copy would say nothing new: this host owns the leaf and has passed the same on a short time ago.
func (f *Forwarder) spare(a *backendv1.AnnounceRequest) bool {
	if owner, ok := f.owner(a.GetLeaf()); !ok || owner != f.self {
		return false
	}
	now, signature := f.clock(), sign(a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.copied[a.GetLeaf()]; ok && last.signature == signature && now.Sub(last.at) < copyInterval {
		return true
	}
	if len(f.copied) >= maxCopied {
		clear(f.copied)
	}
	f.copied[a.GetLeaf()] = copied{at: now, signature: signature}
	return false
}

// sign returns a hash of what matters in an announcement: all but its sequence and load.
func sign(a *backendv1.AnnounceRequest) uint64 {
	same := proto.CloneOf(a)
	same.Sequence, same.Load = 0, 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(same)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// order puts hosts that did not answer a short time ago last.
func (f *Forwarder) order(hosts []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var first, last []string
	for _, h := range hosts {
		if now.Before(f.avoid[h]) {
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
		f.avoid[host] = f.clock().Add(avoidTime)
		return false
	}
	delete(f.avoid, host)
	return true
}
