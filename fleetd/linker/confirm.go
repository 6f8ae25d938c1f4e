package linker

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// reconnectDelay and maxReconnectDelay are the waits before a lost connection of a Confirmer is opened again.
	reconnectDelay    = 50 * time.Millisecond
	maxReconnectDelay = 400 * time.Millisecond
	// maxTimeouts is the number of calls in a row without an answer after which a connection is replaced. One may be late
	// because the control host is looking for a leader.
	maxTimeouts = 2
)

// Confirmer keeps one connection to a control host, on which a host has its state confirmed. It is safe for concurrent use.
type Confirmer struct {
	mu      sync.Mutex
	address string
	conn    *grpc.ClientConn
	// timeouts is the number of calls on the connection that were not answered in time since the last answer.
	timeouts int
}

// Confirm asks the control host at an address for the position of the newest state. The connection is opened if there is
// none, and replaced if the address has changed or the last calls on it were not answered in time. An urgent call is not
// delayed to spare the control hosts.
func (c *Confirmer) Confirm(ctx context.Context, address string, urgent bool) (*peerv1.ConfirmResponse, error) {
	conn, err := c.connect(address)
	if err != nil {
		return nil, oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	out, err := peerv1.NewFollowServiceClient(conn).Confirm(ctx, &peerv1.ConfirmRequest{Urgent: urgent})
	c.check(conn, status.Code(err) == codes.DeadlineExceeded)
	return out, oops.In("linker").Wrapf(err, "confirm at %s", address)
}

func (c *Confirmer) connect(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.address == address {
		return c.conn, nil
	}
	c.close()
	dial, _ := Options()
	delays := backoff.DefaultConfig
	delays.BaseDelay, delays.MaxDelay = reconnectDelay, maxReconnectDelay
	conn, err := grpc.NewClient("passthrough:///"+address, append(dial, grpc.WithConnectParams(grpc.ConnectParams{Backoff: delays, MinConnectTimeout: dialTimeout}))...)
	if err == nil {
		c.address, c.conn = address, conn
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
			c.close()
		}
	}
}

// Close closes the connection.
func (c *Confirmer) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}

// close closes the connection. The caller must hold c.mu.
func (c *Confirmer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.timeouts = nil, 0
	}
}
