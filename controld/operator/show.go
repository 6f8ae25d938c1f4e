package operator

import (
	"context"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// Show returns one version.
func (o *Operator) Show(ctx context.Context, in *operatorv1.ShowRequest) (*operatorv1.ShowResponse, error) {
	v, err := o.store.Show(ctx, in.GetVersion())
	if err != nil {
		return nil, connectError(err)
	}
	return &operatorv1.ShowResponse{Version: v}, nil
}

// Difference returns the merge patch between two versions.
func (o *Operator) Difference(ctx context.Context, in *operatorv1.DifferenceRequest) (*operatorv1.DifferenceResponse, error) {
	out, to, err := o.store.Difference(ctx, in.GetFrom(), in.GetTo())
	if err != nil {
		return nil, connectError(err)
	}
	return &operatorv1.DifferenceResponse{From: in.GetFrom(), To: to, Difference: out}, nil
}

// History returns the newest entries of the audit trail.
func (o *Operator) History(ctx context.Context, in *operatorv1.HistoryRequest) (*operatorv1.HistoryResponse, error) {
	limit := maxHistory
	if l := in.GetLimit(); l > 0 && l < maxHistory {
		limit = int(l)
	}
	audits, err := o.store.History(ctx, in.GetFrom(), limit)
	if err != nil {
		return nil, connectError(err)
	}
	return &operatorv1.HistoryResponse{Audits: audits}, nil
}
