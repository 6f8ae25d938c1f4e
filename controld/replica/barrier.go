package replica

import (
	"context"
	"errors"
	"fmt"

	"lycheelift.example/lib/replicator"
)

// readRequest waits for the index of a linearizable read.
type readRequest struct {
	index chan uint64
	err   chan error
}

// barrier waits until the machine has applied an index.
type barrier struct {
	index uint64
	done  chan error
}

// Barrier returns when the local state includes every command that was acknowledged before the call.
func (r *Replica) Barrier(ctx context.Context) error {
	for {
		index, err := r.readIndex(ctx)
		if err != nil {
			index, err = r.readRemote(ctx)
		}
		if err == nil {
			return r.waitApplied(ctx, index)
		}
		if errors.Is(err, ErrFailed) || errors.Is(err, ErrStopped) {
			return err
		}
		if waitErr := waitRetry(ctx); waitErr != nil {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// readIndex returns the index that must be applied before a linearizable read. It fails on a host that does not lead.
func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	read := &readRequest{index: make(chan uint64, 1), err: make(chan error, 1)}
	if err := r.submit(ctx, func() { r.queuedReads = append(r.queuedReads, read) }); err != nil {
		return 0, err
	}
	select {
	case index := <-read.index:
		return index, nil
	case err := <-read.err:
		return 0, err
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// startReads starts one round of leadership confirmation for all queued reads.
func (r *Replica) startReads() {
	if len(r.queuedReads) == 0 {
		return
	}
	ids := make([]uint64, 0, len(r.queuedReads))
	for _, a := range r.queuedReads {
		r.readID++
		ids = append(ids, r.readID)
		r.startedReads[r.readID] = a
	}
	r.queuedReads = nil
	if err := r.core.Read(r.config.Clock(), ids...); err != nil {
		r.failReads(ErrNoLeader)
	}
}

// completeReads returns the index to the reads that the replicator has confirmed.
func (r *Replica) completeReads(reads []replicator.Read) {
	for _, read := range reads {
		if a, ok := r.startedReads[read.ID]; ok {
			a.index <- read.Index
			delete(r.startedReads, read.ID)
		}
	}
}

func (r *Replica) failReads(err error) {
	for _, a := range r.queuedReads {
		a.err <- err
	}
	r.queuedReads = nil
	for id, a := range r.startedReads {
		a.err <- err
		delete(r.startedReads, id)
	}
}

// waitApplied waits until the machine has applied an index.
func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	b := barrier{index: index, done: make(chan error, 1)}
	add := func() {
		switch {
		case r.failure != nil:
			b.done <- ErrFailed
		case r.applied >= index:
			b.done <- nil
		default:
			r.barriers = append(r.barriers, b)
		}
	}
	if err := r.submit(ctx, add); err != nil {
		return err
	}
	select {
	case err := <-b.done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// completeBarriers completes the barriers whose index the machine has applied.
func (r *Replica) completeBarriers() {
	kept := r.barriers[:0]
	for _, b := range r.barriers {
		if r.applied >= b.index {
			b.done <- nil
			continue
		}
		kept = append(kept, b)
	}
	r.barriers = kept
}
