package submitter

import (
	"context"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Dialer opens connections by address.
type Dialer interface {
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Client calls one control host over gRPC.
type Client struct {
	address string
	dial    Dialer
}

// Clients returns a client for each control host address.
func Clients(addresses []string, dial Dialer) []Control {
	out := make([]Control, 0, len(addresses))
	for _, a := range addresses {
		out = append(out, &Client{address: a, dial: dial})
	}
	return out
}

// Begin requests the permission to run.
func (c *Client) Begin(ctx context.Context, b *statev1.Begin) (*peerv1.BeginResponse, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	out, err := peerv1.NewControlServiceClient(conn).Begin(ctx, &peerv1.BeginRequest{Begin: b})
	return out, c.convert(err)
}

// Finish stores the outcome of an attempt.
func (c *Client) Finish(ctx context.Context, f *statev1.Finish) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	_, err = peerv1.NewControlServiceClient(conn).Finish(ctx, &peerv1.FinishRequest{Finish: f})
	return c.convert(err)
}

// connect waits for the connection before anything is sent, because a failed call alone does not say whether the
// request left this host.
func (c *Client) connect(ctx context.Context) (*grpc.ClientConn, error) {
	conn, err := c.dial.DialAddress(c.address)
	if err != nil {
		return nil, oops.In("submitter").Wrapf(ErrUnsent, "%s", err.Error())
	}
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return conn, nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			// Without the reset, a control host that was down could stay unused for up to 2 min after its return.
			conn.ResetConnectBackoff()
			return nil, oops.In("submitter").Wrapf(ErrUnsent, "%s is unreachable", c.address)
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Connecting:
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, oops.In("submitter").Wrapf(ErrUnsent, "%s: %s", c.address, ctx.Err())
		}
	}
}

// convert wraps an error of a control host. Errors that are returned before a command is proposed become ErrUnsent.
func (c *Client) convert(err error) error {
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.InvalidArgument, codes.Unimplemented, codes.PermissionDenied, codes.Unauthenticated:
		return oops.In("submitter").Wrapf(ErrUnsent, "%s: %s", c.address, err.Error())
	default:
		return oops.In("submitter").Wrapf(err, "%s", c.address)
	}
}
