package leaf

import (
	"cmp"
	"context"
	"time"

	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
)

const (
	// announceInterval is used when the settings name none.
	announceInterval = 500 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 300 * time.Millisecond
)

// Announce tells entry hosts about the server until ctx ends; a failed announcement goes to the next host at once.
func (l *Leaf) Announce(ctx context.Context) {
	for next := l.offset(); ; {
		wait := cmp.Or(l.config.Announce, announceInterval)
		if !l.muted() {
			next = l.tell(ctx, next)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// tell announces to the owner that an entry host has named, or else to the next host that answers. It returns the
// number of the host after that one.
func (l *Leaf) tell(ctx context.Context, next int) int {
	if l.owner != "" {
		var ok bool
		if l.owner, ok = l.announce(ctx, l.owner); ok {
			return next
		}
		l.owner = ""
	}
	for range l.config.Entries {
		owner, ok := l.announce(ctx, l.config.Entries[next%len(l.config.Entries)])
		next++
		if ok {
			l.owner = owner
			break
		}
	}
	return next
}

func (l *Leaf) offset() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(1 << 16)
}

func (l *Leaf) muted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behave.Mute
}

// announce tells one host and returns the owner that it names.
func (l *Leaf) announce(ctx context.Context, entry string) (owner string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	out, err := backendv1connect.NewAnnounceServiceClient(l.client, l.secure.URL(entry)).Announce(ctx, l.announcement())
	return out.GetOwner(), err == nil
}

func (l *Leaf) announcement() *backendv1.AnnounceRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state
	if state == backendv1.State_STATE_COLD && l.behave.Silent {
		state = backendv1.State_STATE_WARM
	}
	return &backendv1.AnnounceRequest{
		Leaf: l.config.Name, Incarnation: l.incarnation, Sequence: l.sequence.Add(1), Address: l.address,
		Center: l.config.Center, Service: l.config.Service, State: state,
		Slots: uint32(l.config.Slots), Connections: uint32(l.config.Connections), Holdings: l.holdings, //nolint:gosec // Small numbers from flags.
		Load: float64(l.active) / float64(l.config.Slots),
	}
}
