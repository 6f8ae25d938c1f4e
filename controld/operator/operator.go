// Package operator serves operators and analysts.
package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Store decides patches and reads versions.
type Store interface {
	Patch(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error)
	Show(ctx context.Context, number uint64) (*statev1.Version, error)
	History(ctx context.Context, from uint64, limit int) ([]*statev1.Audit, error)
}

// Operator serves the operator service.
type Operator struct {
	operatorv1connect.UnimplementedOperatorServiceHandler

	store Store
}

// New returns the service over a store.
func New(store Store) *Operator {
	return &Operator{store: store}
}

const maxIdentity = 256

// Patch submits a change against a numbered version.
func (o *Operator) Patch(ctx context.Context, in *operatorv1.PatchRequest) (*operatorv1.PatchResponse, error) {
	p := in.GetPatch()
	if p.GetId() == "" || len(p.GetId()) > maxIdentity || p.GetAuthor() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, oops.Errorf("a patch needs an id of at most %d bytes and an author", maxIdentity))
	}
	result, err := o.store.Patch(ctx, p)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &operatorv1.PatchResponse{Result: result}, nil
}

// Show returns one version.
func (o *Operator) Show(ctx context.Context, in *operatorv1.ShowRequest) (*operatorv1.ShowResponse, error) {
	v, err := o.store.Show(ctx, in.GetVersion())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return &operatorv1.ShowResponse{Version: v}, nil
}

// History returns the audit trail.
func (o *Operator) History(ctx context.Context, in *operatorv1.HistoryRequest) (*operatorv1.HistoryResponse, error) {
	audits, err := o.store.History(ctx, in.GetFrom(), int(in.GetLimit()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &operatorv1.HistoryResponse{Audits: audits}, nil
}
