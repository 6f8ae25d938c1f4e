package isolator

import (
	"context"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/quarantiner"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Bounds of a report.
const (
	maxAttempts = 16
	maxAttempt  = 256
)

// Suspect takes another host's report and passes it on to the hosts that it names.
func (i *Isolator) Suspect(_ context.Context, in *peerv1.SuspectRequest) (*peerv1.SuspectResponse, error) {
	if len(in.GetAttempts()) > maxAttempts || len(in.GetRelay()) > ranker.MaxCell {
		return nil, status.Error(codes.InvalidArgument, "the report has too many attempts or relays")
	}
	for _, a := range in.GetAttempts() {
		if len(a) > maxAttempt {
			return nil, status.Error(codes.InvalidArgument, "an attempt's identity is too long")
		}
	}
	if in.GetCleared() {
		i.state.Clear(in.GetFingerprint(), i.clock())
	} else {
		i.state.Merge(in.GetFingerprint(), quarantiner.Report{Attempts: in.GetAttempts(), Blocked: in.GetBlocked()}, i.clock())
	}
	i.relay(in)
	return &peerv1.SuspectResponse{}, nil
}

func (i *Isolator) relay(in *peerv1.SuspectRequest) {
	var wait sync.WaitGroup
	for _, host := range in.GetRelay() {
		out := proto.CloneOf(in)
		out.Relay = nil
		wait.Go(func() { i.send(host, out) })
	}
	wait.Wait()
}
