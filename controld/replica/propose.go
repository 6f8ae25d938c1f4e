package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lycheelift.example/lib/replicator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// retryInterval is the time between two attempts to find a leader.
const retryInterval = 20 * time.Millisecond

// errLeadershipLost is the cause of an unknown result when leadership was lost.
var errLeadershipLost = errors.New("leadership was lost before the command was committed")

type outcome struct {
	result *statev1.Result
	err    error
}

type proposal struct {
	command *statev1.Command
	term    uint64
	done    chan outcome // buffered for one outcome
}

// Propose records a command and returns the machine's result. A follower forwards it to the leader. The error is an
// *UnknownError when the command may have been recorded.
func (r *Replica) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	for {
		result, err := r.proposeLocal(ctx, c)
		if errors.Is(err, ErrNoLeader) {
			result, err = r.proposeRemote(ctx, c)
		}
		if !errors.Is(err, ErrNoLeader) {
			return result, err
		}
		if err := waitRetry(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

func waitRetry(ctx context.Context) error {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// proposeLocal records a command if this host is the leader, else it returns ErrNoLeader.
func (r *Replica) proposeLocal(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	p := proposal{command: c, done: make(chan outcome, 1)}
	if err := r.submit(ctx, func() { r.enqueue(p) }); errors.Is(err, ErrStopped) {
		return nil, err
	} else if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-r.stopped:
		return nil, &UnknownError{ErrStopped}
	case <-ctx.Done():
		return nil, &UnknownError{ctx.Err()}
	}
}

func (r *Replica) enqueue(p proposal) {
	if r.failure != nil {
		p.done <- outcome{err: fmt.Errorf("%w: %w", ErrFailed, r.failure)}
		return
	}
	r.queue = append(r.queue, p)
}

// proposeQueued proposes all queued commands as one batch.
func (r *Replica) proposeQueued() {
	r.startReads()
	if len(r.queue) == 0 {
		return
	}
	queue := r.queue
	r.queue = nil
	commands := make([]*statev1.Command, 0, len(queue))
	for _, p := range queue {
		commands = append(commands, p.command)
	}
	index, term, err := r.core.Propose(r.config.Clock(), commands...)
	for i, p := range queue {
		if err != nil {
			p.done <- outcome{err: ErrNoLeader}
			continue
		}
		p.term = term
		r.pending[index+uint64(i)] = p
	}
}

// completeProposal returns the result of an applied record to its proposer.
func (r *Replica) completeProposal(record *statev1.Record, result *statev1.Result) {
	r.completeBarriers()
	p, ok := r.pending[record.GetIndex()]
	if !ok {
		return
	}
	delete(r.pending, record.GetIndex())
	if p.term != record.GetTerm() {
		p.done <- outcome{err: &UnknownError{errLeadershipLost}}
		return
	}
	p.done <- outcome{result: result}
}

// failSuperseded fails the proposals of terms in which this host no longer leads; their results are unknown.
func (r *Replica) failSuperseded(term uint64, leading bool) {
	for index, p := range r.pending {
		if leading && p.term == term {
			continue
		}
		p.done <- outcome{err: &UnknownError{errLeadershipLost}}
		delete(r.pending, index)
	}
	if !leading {
		r.failReads(ErrNoLeader)
	}
}

// failPending fails all pending proposals, reads, barriers and requests.
func (r *Replica) failPending(err error) {
	for _, p := range r.queue {
		p.done <- outcome{err: err}
	}
	r.queue = nil
	for index, p := range r.pending {
		p.done <- outcome{err: &UnknownError{err}}
		delete(r.pending, index)
	}
	r.failReads(err)
	for _, b := range r.barriers {
		b.done <- err
	}
	r.barriers = nil
	for t, ch := range r.responses {
		close(ch)
		delete(r.responses, t)
	}
}

// Add adds a control host as a learner; the leader makes it a voter when it has caught up.
func (r *Replica) Add(ctx context.Context, host, address string) error {
	return r.change(ctx, change{add: &statev1.Replica{Host: host, Address: address}})
}

// Remove removes a control host.
func (r *Replica) Remove(ctx context.Context, host string) error {
	return r.change(ctx, change{remove: host})
}

type change struct {
	add    *statev1.Replica
	remove string
}

// change changes the members on the leader. Adding and removing are idempotent, so unknown results are simply retried.
func (r *Replica) change(ctx context.Context, c change) error {
	for {
		err := r.changeLocal(ctx, c)
		if errors.Is(err, ErrNoLeader) {
			err = r.changeRemote(ctx, c)
		}
		if !errors.Is(err, ErrNoLeader) && !errors.Is(err, replicator.ErrChanging) {
			return err
		}
		if waitErr := waitRetry(ctx); waitErr != nil {
			return errors.Join(err, waitErr)
		}
	}
}

func (r *Replica) changeLocal(ctx context.Context, c change) error {
	done := make(chan error, 1)
	if err := r.submit(ctx, func() { done <- r.applyChange(c) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) applyChange(c change) error {
	if r.failure != nil {
		return ErrFailed
	}
	var err error
	if c.add != nil {
		err = r.core.Add(r.config.Clock(), c.add.GetHost(), c.add.GetAddress(), c.add.GetCenter())
	} else {
		err = r.core.Remove(r.config.Clock(), c.remove)
	}
	if errors.Is(err, replicator.ErrNotLeader) {
		return ErrNoLeader
	}
	return err
}
