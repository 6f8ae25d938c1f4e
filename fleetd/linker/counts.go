package linker

import (
	"context"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Counts sends counts of rollouts to a control host. It keeps one connection open, because they are sent several times a
// second. It is safe for concurrent use.
type Counts struct {
	mu      sync.Mutex
	address string
	conn    *grpc.ClientConn
}

// Send sends counts to the control host at an address.
func (c *Counts) Send(ctx context.Context, address string, counts []*peerv1.ServiceCounts) error {
	conn, err := c.connection(address)
	if err != nil {
		return err
	}
	_, err = peerv1.NewFollowServiceClient(conn).ReportCounts(ctx, &peerv1.ReportCountsRequest{Counts: counts})
	return oops.In("linker").Wrapf(err, "send counts to %s", address)
}

func (c *Counts) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.address == address {
		return c.conn, nil
	}
	c.close()
	dial, _ := Options()
	conn, err := grpc.NewClient("passthrough:///"+address, dial...)
	if err != nil {
		return nil, oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	c.address, c.conn = address, conn
	return conn, nil
}

// Close closes the connection until counts are sent again.
func (c *Counts) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}

func (c *Counts) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
