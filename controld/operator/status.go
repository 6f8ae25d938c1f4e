package operator

import (
	"context"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// Status returns what this control host knows of the group and of the versions in force. It needs no majority, so
// that it works when the operator needs it most; the version may then lag.
func (o *Operator) Status(ctx context.Context, _ *operatorv1.StatusRequest) (*operatorv1.StatusResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure(err)
	}
	newest, reports, late, err := o.store.InForce()
	if err != nil {
		return nil, failure(err)
	}
	s := o.group.Status()
	return &operatorv1.StatusResponse{
		Host: s.Host, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Members: s.Members,
		Version: newest, Hosts: reports, Late: late,
	}, nil
}
