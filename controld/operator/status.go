package operator

import (
	"context"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// Status returns the group and the versions in force as this control host knows them. It needs no majority, so that it
// also works during an outage; the version may then be stale.
func (o *Operator) Status(ctx context.Context, _ *operatorv1.StatusRequest) (*operatorv1.StatusResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, connectError(err)
	}
	newest, reports, late, err := o.store.InForce()
	if err != nil {
		return nil, connectError(err)
	}
	s := o.group.Status()
	return &operatorv1.StatusResponse{
		Host: s.Host, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Members: s.Members,
		Version: newest, Hosts: reports, Late: late,
	}, nil
}
