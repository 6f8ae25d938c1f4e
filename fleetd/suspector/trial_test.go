package suspector_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/suspector"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// A fingerprint is blocked by the loss of another host's trial while the arbiter is asked, and the arbiter does not answer.
// Guards against a request that runs although its host knows of the block, and against an arbiter that is not told that the
// trial does not take place.
func TestRequestBlockedWhileTheArbiterIsAskedDoesNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	ended := make(chan bool, 1)
	var s *suspector.Suspector
	s = suspector.New(suspector.WithArbiter(func(_ context.Context, in *peerv1.TryRequest) (*peerv1.TryResponse, error) {
		if in.GetEnded() {
			ended <- in.GetLoss().GetBlocked()
			return &peerv1.TryResponse{}, nil
		}
		s.Merge([]*peerv1.Loss{{Fingerprint: in.GetLoss().GetFingerprint(), Blocked: true, Left: durationpb.New(time.Minute)}}, now)
		return nil, errors.New("the control host does not answer")
	}))
	s.ReportLost(request("a", now), now)
	end, wait := s.Begin(context.Background(), request("b", now), now.Add(time.Second), now)
	qt.Assert(t, end, qt.IsNil)
	qt.Assert(t, wait, qt.Equals, time.Minute)
	qt.Assert(t, <-ended, qt.IsTrue)
}
