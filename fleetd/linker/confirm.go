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
)

// Confirmer keeps one connection to a control host, on which a host has its state confirmed. It is safe for concurrent use.
type Confirmer struct {
	mu      sync.Mutex
	address string
	conn    *grpc.ClientConn
}

// Confirm asks the control host at an address for the position of the newest state. The connection is opened if there is
// none, and replaced if the address has changed or the previous call on it was not answered in time.
func (c *Confirmer) Confirm(ctx context.Context, address string) (*peerv1.ConfirmResponse, error) {
	conn, err := c.connect(address)
	if err != nil {
		return nil, oops.In("linker").Wrapf(err, "connect to %s", address)
	}
	out, err := peerv1.NewFollowServiceClient(conn).Confirm(ctx, &peerv1.ConfirmRequest{})
	if status.Code(err) == codes.DeadlineExceeded {
		c.drop(conn) // It may be dead; a new one is opened by the next call.
	}
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

// drop closes a connection unless it has been replaced already.
func (c *Confirmer) drop(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.close()
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
		c.conn = nil
	}
}
