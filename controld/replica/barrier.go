package replica

import (
	"context"
	"errors"
	"fmt"

	"lycheelift.example/lib/replicator"
)

// asker waits for the index of a linearizable read.
type asker struct {
	index chan uint64
	err   chan error
}

// barrier waits for the machine to reach an index.
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
			return r.reach(ctx, index)
		}
		if errors.Is(err, ErrFailed) || errors.Is(err, ErrStopped) {
			return err
		}
		if stop := pause(ctx); stop != nil {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// readIndex returns the index that a read on the leader must reach; on another host it fails.
func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	a := &asker{index: make(chan uint64, 1), err: make(chan error, 1)}
	if err := r.do(ctx, func() { r.askers = append(r.askers, a) }); err != nil {
		return 0, err
	}
	select {
	case index := <-a.index:
		return index, nil
	case err := <-a.err:
		return 0, err
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// ask begins one round for all reads that are queued.
func (r *Replica) ask() {
	if len(r.askers) == 0 {
		return
	}
	ids := make([]uint64, 0, len(r.askers))
	for _, a := range r.askers {
		r.readID++
		ids = append(ids, r.readID)
		r.reads[r.readID] = a
	}
	r.askers = nil
	if err := r.core.Read(r.config.Clock(), ids...); err != nil {
		r.dropReads(ErrNoLeader)
	}
}

// confirm answers the reads that the replicator confirmed.
func (r *Replica) confirm(reads []replicator.Read) {
	for _, read := range reads {
		if a, ok := r.reads[read.ID]; ok {
			a.index <- read.Index
			delete(r.reads, read.ID)
		}
	}
}

func (r *Replica) dropReads(err error) {
	for _, a := range r.askers {
		a.err <- err
	}
	r.askers = nil
	for id, a := range r.reads {
		a.err <- err
		delete(r.reads, id)
	}
}

// reach waits until the machine has applied an index.
func (r *Replica) reach(ctx context.Context, index uint64) error {
	b := barrier{index: index, done: make(chan error, 1)}
	add := func() {
		switch {
		case r.failed != nil:
			b.done <- ErrFailed
		case r.applied >= index:
			b.done <- nil
		default:
			r.barriers = append(r.barriers, b)
		}
	}
	if err := r.do(ctx, add); err != nil {
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

// release answers the barriers that the machine has reached.
func (r *Replica) release() {
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
