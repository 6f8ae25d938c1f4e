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

// Limits of a report.
const (
	maxCrashes   = 16
	maxCrashName = 256 // In bytes.
)

// Suspect handles another host's report and relays it to the hosts that the report lists.
func (i *Isolator) Suspect(_ context.Context, in *peerv1.SuspectRequest) (*peerv1.SuspectResponse, error) {
	if len(in.GetCrashes()) > maxCrashes || len(in.GetRelay()) > ranker.MaxCell {
		return nil, status.Error(codes.InvalidArgument, "the report has too many crashes or relays")
	}
	for _, c := range in.GetCrashes() {
		if len(c) > maxCrashName {
			return nil, status.Error(codes.InvalidArgument, "a crash's name is too long")
		}
	}
	if in.GetCleared() {
		i.state.Clear(in.GetFingerprint(), i.clock())
	} else {
		i.state.Merge(in.GetFingerprint(), quarantiner.Report{Crashes: in.GetCrashes(), Blocked: in.GetBlocked()}, i.clock())
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
