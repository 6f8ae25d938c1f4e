package helper

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Gatherer gathers a portion from its leaves.
type Gatherer interface {
	Gather(ctx context.Context, p *answerer.Portion, emit func(*answerer.Parts))
}

// Service gathers portions for other hosts.
type Service struct {
	peerv1.UnimplementedGatherServiceServer

	gatherer Gatherer
	// stopping reports whether this host is stopping and accepts no more portions.
	stopping func() bool
	clock    func() time.Time
}

// NewService returns a service that gathers with g and declines portions once stopping returns true.
func NewService(g Gatherer, stopping func() bool, clock func() time.Time) *Service {
	return &Service{gatherer: g, stopping: stopping, clock: clock}
}

// Gather gathers a portion of a query. A stopping host declines with the code FailedPrecondition before it has sent
// anything to a leaf.
func (s *Service) Gather(m *peerv1.GatherRequest, out peerv1.GatherService_GatherServer) error {
	if s.stopping() {
		return status.Error(codes.FailedPrecondition, "the host stops")
	}
	var failed error
	s.gatherer.Gather(out.Context(), decode(m, s.clock()), func(p *answerer.Parts) {
		if failed == nil {
			response := &peerv1.GatherResponse{Stamps: toBytes(p.Stamps), Records: p.Records, Last: p.Final, Unrun: p.NotRun, Lost: toUint32(p.LostConnections)}
			if p.Expected > 0 {
				response.Expected = durationpb.New(p.Expected)
			}
			failed = out.Send(response)
		}
	})
	return failed
}

// callerRequest returns the caller's request that a portion belongs to.
func callerRequest(m *peerv1.GatherRequest, now time.Time) *carrier.Request {
	return &carrier.Request{
		ID: string(m.GetId()), Method: string(m.GetMethod()), Host: string(m.GetHost()), Target: string(m.GetTarget()), Header: decodeHeader(m.GetHeader()), Withheld: decodeHeader(m.GetWithheld()), Body: m.GetBody(),
		Received: now, Timeout: m.GetLeft().AsDuration(), Tenant: m.GetTenant(),
	}
}
