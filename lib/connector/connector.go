// Package connector opens connections to hosts that may be without power. Such a host does not answer the first packet of a
// connection, and TCP sends it again only after a second, when the host may long be up. The connector therefore starts
// further attempts beside one that is not answered.
package connector

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Connector opens connections. It is safe for concurrent use.
type Connector struct {
	dial              DialFunc
	interval, timeout time.Duration
}

// New returns a connector that starts an attempt every interval until one of them has a result, and gives up after timeout.
func New(dial DialFunc, interval, timeout time.Duration) *Connector {
	return &Connector{dial: dial, interval: interval, timeout: timeout}
}

// result is the outcome of one attempt.
type result struct {
	conn net.Conn
	err  error
}

// Dial returns the connection of the first attempt that is answered, or the error of the first that fails: a host that
// refuses one attempt is up and would refuse the others too.
func (c *Connector) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	results := make(chan result)
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		go c.attempt(ctx, address, results)
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
	}
}

// attempt makes one attempt. It closes the connection if another attempt has already had a result.
func (c *Connector) attempt(ctx context.Context, address string, results chan<- result) {
	conn, err := c.dial(ctx, address)
	select {
	case results <- result{conn, err}:
	case <-ctx.Done():
		if conn != nil {
			_ = conn.Close()
		}
	}
}
