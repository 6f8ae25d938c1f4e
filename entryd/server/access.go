package server

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	settings "lycheelift.example/schema/gen/settings/entryd"
)

// maxSmallMessageBytes bounds the requests of backend servers and operators.
const maxSmallMessageBytes = 64 << 10

// queryOverheadBytes is the size allowed for the fields of a query other than its body.
const queryOverheadBytes = 8 << 10

var rolesByProcedure = authorizer.Procedures{
	callerv1connect.QueryServiceQueryProcedure:        {authorizer.Caller},
	backendv1connect.AnnounceServiceAnnounceProcedure: {authorizer.Backend},
	operatorv1connect.HostServiceInspectProcedure:     {authorizer.Operator, authorizer.Analyst},
	operatorv1connect.HostServiceRemoveProcedure:      {authorizer.Operator},
}

// tenantInterceptor refuses queries on behalf of a tenant that the caller's certificate does not name.
func tenantInterceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			in, ok := request.Any().(*callerv1.QueryRequest)
			if ok && !authorizer.PeerFrom(ctx).Tenant(in.GetTenant()) {
				return nil, forbiddenError(in.GetId())
			}
			return next(ctx, request)
		}
	}
}

func forbiddenError(id string) error {
	const text = "the caller's certificate does not name this tenant"
	return refusalError(connect.CodePermissionDenied, &callerv1.Refusal{
		Id: id, Outcome: callerv1.Outcome_OUTCOME_REFUSED, Reason: callerv1.Reason_REASON_FORBIDDEN, Text: text,
	})
}

// refusalError returns the RPC error for a query that was refused before any work was done for it.
func refusalError(code connect.Code, refusal *callerv1.Refusal) error {
	out := connect.NewError(code, errors.New("not run: "+refusal.GetText()))
	if detail, err := connect.NewErrorDetail(proto.Message(refusal)); err == nil {
		out.AddDetail(detail)
	}
	return out
}

// newSecurity loads the TLS identity named by the settings.
func newSecurity(s settings.Entry, clock func() time.Time) (*transporter.Security, error) {
	files := transporter.Files{Certificate: s.Tls.Certificate, Key: s.Tls.Key, Authority: s.Tls.Authority}
	return transporter.NewSecurity(s.Tls.Off, files, clock, s.Listen.Callers, s.Listen.Peers)
}
