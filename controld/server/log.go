package server

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"lycheelift.example/controld/operator"
	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// log offers a replica to the store and turns its errors into those of the store.
type log struct{ *replica.Replica }

// Propose commits a command.
func (l log) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	result, err := l.Replica.Propose(ctx, c)
	if errors.Is(err, replica.ErrNoLeader) || errors.Is(err, replica.ErrFailed) || errors.Is(err, replica.ErrStopped) {
		return nil, oops.Wrapf(store.ErrNotProposed, "%s", err)
	}
	return result, err
}

// group offers a replica's members to operators.
type group struct{ *replica.Replica }

// Status returns what this host knows of the group.
func (g group) Status() operator.GroupStatus {
	s := g.Replica.Status()
	return operator.GroupStatus{Host: s.Host, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Members: s.Members}
}

// Add makes a control host a learner.
func (g group) Add(ctx context.Context, add *statev1.Replica) (*statev1.Members, error) {
	if err := g.Replica.Add(ctx, add.GetHost(), add.GetAddress()); err != nil {
		return nil, oops.Wrapf(operator.ErrMember, "%s", err)
	}
	return g.Replica.Status().Members, nil
}

// Remove takes a control host out of the group.
func (g group) Remove(ctx context.Context, host string) (*statev1.Members, error) {
	if err := g.Replica.Remove(ctx, host); err != nil {
		return nil, oops.Wrapf(operator.ErrMember, "%s", err)
	}
	return g.Replica.Status().Members, nil
}
