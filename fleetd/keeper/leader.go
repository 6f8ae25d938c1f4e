package keeper

import (
	"context"
	"sync"
	"time"

	"lycheelift.example/lib/repeater"
)

// leaderInterval is the time between checks whether this host has heard a leader. Entry hosts that have just started accept no
// state before. The check is made once for all streams: hundreds of streams that each look so often would leave no time for
// the election.
const leaderInterval = 20 * time.Millisecond

// leaderSignal tells streams that a leader has been heard. The zero value is ready for use.
type leaderSignal struct {
	mu      sync.Mutex
	channel chan struct{}
	settled bool
}

// heard returns a channel that is closed when a leader is heard next after a time without one.
func (l *leaderSignal) heard() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.channel == nil {
		l.channel = make(chan struct{})
	}
	return l.channel
}

// update records whether this host is in contact with a leader.
func (l *leaderSignal) update(settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if settled && !l.settled && l.channel != nil {
		close(l.channel)
		l.channel = nil
	}
	l.settled = settled
}

// watchLeader signals to the streams that a leader has been heard, until ctx ends.
func (k *Keeper) watchLeader(ctx context.Context) {
	repeater.Every(ctx, leaderInterval, func() { k.leader.update(k.Settled(k.clock())) })
}
