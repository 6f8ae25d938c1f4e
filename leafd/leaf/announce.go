package leaf

import (
	"cmp"
	"context"
	"time"

	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
)

const (
	// announceInterval is the default time between two announcements.
	announceInterval = 500 * time.Millisecond
	// announceTimeout bounds one announcement to one host.
	announceTimeout = 300 * time.Millisecond
)

// Announce announces the server to entry hosts until ctx is cancelled. A failed announcement is sent to the next host at
// once.
func (l *Leaf) Announce(ctx context.Context) {
	for next := l.randomHostIndex(); ; {
		interval := cmp.Or(l.config.AnnounceInterval, announceInterval)
		if !l.muted() {
			next = l.announceOnce(ctx, next)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// announceOnce announces to the owner that an entry host named, or else to the first host from next on that answers. It
// returns the index of the host to try next.
func (l *Leaf) announceOnce(ctx context.Context, next int) int {
	if l.owner != "" {
		var ok bool
		if l.owner, ok = l.announceTo(ctx, l.owner); ok {
			return next
		}
		l.owner = ""
	}
	for range l.config.Entries {
		owner, ok := l.announceTo(ctx, l.config.Entries[next%len(l.config.Entries)])
		next++
		if ok {
			l.owner = owner
			break
		}
	}
	return next
}

func (l *Leaf) randomHostIndex() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(1 << 16)
}

func (l *Leaf) muted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behaviour.MuteAnnouncements
}

// announceTo announces to one entry host and returns the owner that it names.
func (l *Leaf) announceTo(ctx context.Context, entry string) (owner string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	out, err := backendv1connect.NewAnnounceServiceClient(l.client, l.security.URL(entry)).Announce(ctx, l.announcement())
	return out.GetOwner(), err == nil
}

func (l *Leaf) announcement() *backendv1.AnnounceRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state
	if state == backendv1.State_STATE_COLD && l.behaviour.HideCold {
		state = backendv1.State_STATE_WARM
	}
	return &backendv1.AnnounceRequest{
		Leaf: l.config.Name, Incarnation: l.incarnation, Sequence: l.sequence.Add(1), Address: l.address,
		Center: l.config.Center, Service: l.config.Service, State: state,
		Slots: uint32(l.config.Slots), Connections: uint32(l.config.Connections), Holdings: l.holdings, //nolint:gosec // Small numbers from flags.
		Load: float64(l.active) / float64(l.config.Slots),
	}
}
