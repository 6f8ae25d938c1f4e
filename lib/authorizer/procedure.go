package authorizer

import (
	"context"

	"connectrpc.com/connect"
)

// Procedures maps the path of each RPC procedure to the roles that may call it. Calls of unlisted procedures are rejected.
type Procedures map[string][]Role

// Interceptor rejects requests from peers without a permitted role.
func Interceptor(procedures Procedures) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if err := Require(ctx, procedures[request.Spec().Procedure]...); err != nil {
				return nil, connect.NewError(connect.CodePermissionDenied, err)
			}
			return next(ctx, request)
		}
	})
}
