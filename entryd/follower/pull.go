package follower

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// pollInterval is the time between two requests for a newer version.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one request.
	pollTimeout = 300 * time.Millisecond
)

// Dialer opens connections by address.
type Dialer interface {
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Poll asks control hosts for newer versions until ctx ends.
func (f *Follower) Poll(ctx context.Context, control []string, dial Dialer, clock func() time.Time) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if !f.ask(ctx, control, dial, clock) {
			eventer.ControlSilent.Log(clock(), "age", f.Age(clock()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) ask(ctx context.Context, control []string, dial Dialer, clock func() time.Time) bool {
	for _, address := range control {
		conn, err := dial.DialAddress(address)
		if err != nil {
			continue
		}
		request, cancel := context.WithTimeout(ctx, pollTimeout)
		out, err := peerv1.NewControlServiceClient(conn).Fetch(request, &peerv1.FetchRequest{Version: f.View().Number})
		cancel()
		if err != nil {
			continue
		}
		f.Heard(clock())
		if v := out.GetVersion(); v != nil {
			if _, err := f.Apply(v, clock()); err != nil {
				return false
			}
		}
		return true
	}
	return false
}
