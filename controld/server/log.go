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

// replicaLog adapts a replica to store.Log and converts its errors to those of the store.
type replicaLog struct{ *replica.Replica }

// Propose commits a command.
func (l replicaLog) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	result, err := l.Replica.Propose(ctx, c)
	if errors.Is(err, replica.ErrNoLeader) || errors.Is(err, replica.ErrFailed) || errors.Is(err, replica.ErrStopped) {
		return nil, oops.Wrapf(store.ErrNotProposed, "%s", err)
	}
	return result, err
}

// replicaGroup adapts a replica to operator.Group.
type replicaGroup struct{ *replica.Replica }

// Status returns the state of the group as this host knows it.
func (g replicaGroup) Status() operator.GroupStatus {
	s := g.Replica.Status()
	return operator.GroupStatus{Host: s.Host, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Members: s.Members}
}

// Add adds a control host as a learner.
func (g replicaGroup) Add(ctx context.Context, add *statev1.Replica) (*statev1.Members, error) {
	if err := g.Replica.Add(ctx, add.GetHost(), add.GetAddress()); err != nil {
		return nil, oops.Wrapf(operator.ErrMember, "%s", err)
	}
	return g.Replica.Status().Members, nil
}

// Remove removes a control host from the group.
func (g replicaGroup) Remove(ctx context.Context, host string) (*statev1.Members, error) {
	if err := g.Replica.Remove(ctx, host); err != nil {
		return nil, oops.Wrapf(operator.ErrMember, "%s", err)
	}
	return g.Replica.Status().Members, nil
}
