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
	for next := l.offset(); ; next++ {
		wait := cmp.Or(l.config.Announce, announceInterval)
		if l.muted() {
			next--
		} else {
			for range l.config.Entries {
				if l.announce(ctx, l.config.Entries[next%len(l.config.Entries)]) {
					break
				}
				next++
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
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

func (l *Leaf) announce(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := backendv1connect.NewAnnounceServiceClient(l.client, l.secure.URL(entry)).Announce(ctx, l.announcement())
	return err == nil
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
