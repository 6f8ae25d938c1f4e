package keeper

import (
	"context"
	"time"

	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// ReportLosses receives an entry host's observations of requests that are suspected of crashing the leaves that run them.
func (s *Service) ReportLosses(_ context.Context, in *peerv1.ReportLossesRequest) (*peerv1.ReportLossesResponse, error) {
	s.keeper.mergeLosses(in.GetLosses(), s.keeper.clock())
	return &peerv1.ReportLossesResponse{}, nil
}

// mergeLosses merges the losses known to another host. What is new is sent to all followers.
func (k *Keeper) mergeLosses(losses []*peerv1.Loss, now time.Time) {
	for _, m := range losses {
		loss, changed := k.losses.Merge(suspector.Decode(m, now), now)
		switch {
		case !changed:
		case loss.Blocked:
			eventer.RequestBlocked.Log(now, "fingerprint", loss.Fingerprint, "for", k.losses.Blocked(loss.Fingerprint, now))
		default:
			eventer.RequestSuspected.Log(now, "fingerprint", loss.Fingerprint, "lost", len(loss.Lost), "forgiven", len(loss.Forgiven), "blocked", false)
		}
	}
}
