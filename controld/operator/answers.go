package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/recorder"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxAnswers bounds the answers in one reply.
const maxAnswers = 10000

// Record is the searchable record of answers.
type Record interface {
	Search(q *recorder.Query) (answers []*statev1.Answer, spans []*statev1.Span, more bool, err error)
}

// Answers returns the answers that are stored on this control host. A caller may read only those of its own tenant.
func (o *Operator) Answers(ctx context.Context, in *operatorv1.AnswersRequest) (*operatorv1.AnswersResponse, error) {
	if !authorizer.PeerFrom(ctx).Tenant(in.GetTenant()) {
		return nil, connect.NewError(connect.CodePermissionDenied, oops.Errorf("the certificate does not permit to read the answers of tenant %q", in.GetTenant()))
	}
	limit := maxAnswers
	if l := in.GetLimit(); l > 0 && l < maxAnswers {
		limit = int(l)
	}
	answers, spans, more, err := o.record.Search(&recorder.Query{
		Tenant: in.GetTenant(), Caller: in.GetCaller(), Service: in.GetService(), Snapshot: in.GetSnapshot(), Version: in.GetVersion(),
		From: timeOrZero(in.GetFrom()), Until: timeOrZero(in.GetUntil()), Limit: limit,
	})
	if err != nil {
		return nil, connectError(err)
	}
	return &operatorv1.AnswersResponse{Answers: answers, Spans: spans, More: more}, nil
}

func timeOrZero(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}
