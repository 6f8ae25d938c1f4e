package keeper

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// WithReadSpacing sets the minimum time between the beginnings of two reads that confirm the state of followers, 0 for none.
// Each read costs the leader a round of messages to all control hosts.
func WithReadSpacing(spacing time.Duration) Option {
	return func(k *Keeper) { k.reads.spacing = spacing }
}

// urgentSpacing is the minimum time between the beginnings of two reads when an urgent call waits: when hundreds of hosts start
// together, reads must leave time for everything else.
const urgentSpacing = 20 * time.Millisecond

// Confirm returns the position of a state that includes everything acknowledged before the call arrived.
func (s *Service) Confirm(ctx context.Context, in *peerv1.ConfirmRequest) (*peerv1.ConfirmResponse, error) {
	out, err := s.keeper.reads.join(ctx, in.GetUrgent(), s.keeper.confirm)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return out, nil
}

// confirm reads the newest state.
func (k *Keeper) confirm() (*peerv1.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	view, err := k.store.ConfirmedView(ctx)
	if err != nil {
		return nil, wrapUndecided(err)
	}
	return &peerv1.ConfirmResponse{Index: view.Index, Version: view.Document.GetVersion()}, nil
}

// sharedReads runs one linearizable read at a time for all calls that wait. A call joins only a read that begins after its
// arrival, because one in progress may miss what was acknowledged since it began. The zero value is ready for use.
type sharedReads struct {
	// spacing is the minimum time between the beginnings of two reads.
	spacing time.Duration

	mu sync.Mutex
	// next is the read that begins when the running one ends; nil if no call waits for it.
	next    *sharedRead
	running bool
	// hurry ends the wait for the next read, because an urgent call waits for it.
	hurry chan struct{}
}

// sharedRead is one read. Its results may be used once done is closed.
type sharedRead struct {
	done   chan struct{}
	result *peerv1.ConfirmResponse
	err    error
}

// join waits for the result of a read that begins after the call. For an urgent call the read is not delayed by the spacing.
func (r *sharedReads) join(ctx context.Context, urgent bool, read func() (*peerv1.ConfirmResponse, error)) (*peerv1.ConfirmResponse, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &sharedRead{done: make(chan struct{})}
	}
	joined := r.next
	if r.hurry == nil {
		r.hurry = make(chan struct{}, 1)
	}
	switch {
	case !r.running:
		r.running = true
		go r.run(read)
	case urgent:
		select {
		case r.hurry <- struct{}{}:
		default: // Another urgent call waits.
		}
	}
	r.mu.Unlock()
	select {
	case <-joined.done:
		return joined.result, joined.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run runs reads until no call waits.
func (r *sharedReads) run(read func() (*peerv1.ConfirmResponse, error)) {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		if current == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		spaced, soon := time.After(r.spacing), time.After(min(r.spacing, urgentSpacing))
		current.result, current.err = read()
		close(current.done)
		select {
		case <-spaced:
		case <-r.hurry:
			<-soon
		}
	}
}
