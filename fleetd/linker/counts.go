package linker

import (
	"context"

	"github.com/samber/oops"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Counts sends counts of rollouts to a control host. It keeps one connection open, because they are sent several times a
// second. It is safe for concurrent use.
type Counts struct {
	link Link
}

// Send sends counts to the control host at an address.
func (c *Counts) Send(ctx context.Context, address string, counts []*peerv1.ServiceCounts) error {
	conn, err := c.link.Dial(address)
	if err != nil {
		return err
	}
	_, err = peerv1.NewFollowServiceClient(conn).ReportCounts(ctx, &peerv1.ReportCountsRequest{Counts: counts})
	return oops.In("linker").Wrapf(err, "send counts to %s", address)
}

// Close closes the connection until counts are sent again.
func (c *Counts) Close() {
	c.link.Close()
}
