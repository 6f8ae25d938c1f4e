package peerer

import (
	"context"
	"sync"
	"time"

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
)

// Forwarder passes announcements to the hosts of the leaf's cell.
type Forwarder struct {
	self  string
	dial  *Dialer
	owner func(leaf string) (string, bool)
	clock func() time.Time

	mu    sync.Mutex
	avoid map[string]time.Time
}

// NewForwarder returns a forwarder; owner returns the published owner of a leaf.
func NewForwarder(self string, dial *Dialer, owner func(string) (string, bool), clock func() time.Time) *Forwarder {
	return &Forwarder{self: self, dial: dial, owner: owner, clock: clock, avoid: make(map[string]time.Time)}
}

// Forward passes an announcement to the published owner and to the first hosts in rendezvous order that answer.
func (f *Forwarder) Forward(ctx context.Context, a *backendv1.AnnounceRequest) {
	cell, ok := ranker.Locate(a.GetLeaf(), a.GetCenter(), f.dial.follow.View().Cells)
	if !ok {
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
