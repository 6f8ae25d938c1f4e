package keeper

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// ReportLosses receives an entry host's observations of requests that are suspected of crashing the leaves that run them.
func (s *Service) ReportLosses(_ context.Context, in *peerv1.ReportLossesRequest) (*peerv1.ReportLossesResponse, error) {
	s.keeper.mergeLosses(in.GetLosses(), s.keeper.clock())
	return &peerv1.ReportLossesResponse{}, nil
}

// Try permits one request of a suspected fingerprint at a time, among the entry hosts that ask this control host.
func (s *Service) Try(_ context.Context, in *peerv1.TryRequest) (*peerv1.TryResponse, error) {
	k := s.keeper
	now := k.clock()
	k.mergeLosses([]*peerv1.Loss{in.GetLoss()}, now)
	fingerprint := in.GetLoss().GetFingerprint()
	if in.GetEnded() {
		k.trials.End(fingerprint, in.GetTrial())
		return &peerv1.TryResponse{}, nil
	}
	limit := min(max(0, in.GetLimit().AsDuration()), maxTrialTime)
	wait := k.trials.Begin(fingerprint, in.GetTrial(), now.Add(limit), now)
	// The losses are read after the trial has begun, so that they include the loss with which the trial before it ended.
	out := &peerv1.TryResponse{Loss: suspector.Encode(k.losses.Find(fingerprint, now), now)}
	if wait > 0 {
		out.Wait = durationpb.New(wait)
	}
	return out, nil
}

// maxTrialTime bounds the time for which a lost entry host holds back the requests of others. No request takes longer.
const maxTrialTime = time.Minute

// mergeLosses merges the losses known to another host. What is new is sent to all followers.
func (k *Keeper) mergeLosses(losses []*peerv1.Loss, now time.Time) {
	for _, m := range losses {
		loss, changed := k.losses.Merge(suspector.Decode(m, now), now)
		switch {
		case !changed:
		case loss.Blocked:
			eventer.RequestBlocked.Log(now, "fingerprint", loss.Fingerprint, "for", k.losses.Blocked(loss.Fingerprint, now), "lost", loss.IDs())
		default:
			eventer.RequestSuspected.Log(now, "fingerprint", loss.Fingerprint, "lost", len(loss.Lost), "forgiven", len(loss.Forgiven), "blocked", false)
		}
	}
}
