package linker

import (
	"context"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// maxTimeouts is the number of calls in a row without an answer after which a connection is replaced. One may be late because the
// control host is looking for a leader.
const maxTimeouts = 2

// Confirmer keeps one connection to a control host, on which a host has its state confirmed. It is safe for concurrent use.
type Confirmer struct {
	link Link

	mu sync.Mutex
	// conn is the connection to which timeouts refers: the number of calls that were not answered in time since the last answer.
	conn     *grpc.ClientConn
	timeouts int
}

// Confirm asks the control host at an address for the position of the newest state. The connection is opened if there is
// none, and replaced if the address has changed or the last calls on it were not answered in time. An urgent call is not
// delayed to spare the control hosts.
func (c *Confirmer) Confirm(ctx context.Context, address string, urgent bool) (*peerv1.ConfirmResponse, error) {
	conn, err := c.connect(address)
	if err != nil {
		return nil, err
	}
	out, err := peerv1.NewFollowServiceClient(conn).Confirm(ctx, &peerv1.ConfirmRequest{Urgent: urgent})
	c.check(conn, status.Code(err) == codes.DeadlineExceeded)
	return out, oops.In("linker").Wrapf(err, "confirm at %s", address)
}

func (c *Confirmer) connect(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.link.Dial(address)
	if conn != c.conn {
		c.conn, c.timeouts = conn, 0
	}
	return conn, err
}

// check closes a connection that may be dead: it can stay open without delivering anything. The next call opens a new one.
func (c *Confirmer) check(conn *grpc.ClientConn, timedOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.conn != conn:
	case !timedOut:
		c.timeouts = 0
	default:
		if c.timeouts++; c.timeouts >= maxTimeouts {
			c.link.Close()
			c.conn = nil
		}
	}
}

// Close closes the connection.
func (c *Confirmer) Close() {
	c.link.Close()
}
