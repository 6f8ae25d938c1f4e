package operator

import (
	"context"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// Patch submits a change against a numbered version.
func (o *Operator) Patch(ctx context.Context, in *operatorv1.PatchRequest) (*operatorv1.PatchResponse, error) {
	p := in.GetPatch()
	switch {
	case p.GetId() == "" || len(p.GetId()) > maxIdentity:
		return nil, invalidArgument("a patch needs an id of at most %d bytes", maxIdentity)
	case p.GetAuthor() == "" || len(p.GetAuthor()) > maxIdentity:
		return nil, invalidArgument("a patch needs an author of at most %d bytes", maxIdentity)
	case len(p.GetReason()) > maxReason:
		return nil, invalidArgument("a reason has at most %d bytes", maxReason)
	case p.GetBase() == 0:
		return nil, invalidArgument("a patch needs the version that it builds on")
	case p.GetRollback() != 0 && len(p.GetBody()) > 0:
		return nil, invalidArgument("a rollback has no body")
	}
	result, err := o.store.Patch(ctx, p)
	if err != nil {
		return nil, connectError(err)
	}
	return &operatorv1.PatchResponse{Result: result}, nil
}
