package peerer

import (
	"context"
	"net"

	"github.com/samber/oops"
	tally "github.com/uber-go/tally/v4"
)

// Wire counts every byte on the connections between hosts, the frames of HTTP/2 included. TCP and IP headers come
// on top.
type Wire struct {
	in, out tally.Counter
}

// NewWire returns a counter that reports to the scope.
func NewWire(scope tally.Scope) *Wire {
	return &Wire{in: scope.Counter("peer_wire_in"), out: scope.Counter("peer_wire_out")}
}

// Dial opens a counted connection.
func (w *Wire) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, oops.In("peerer").Wrapf(err, "connect to %s", address)
	}
	return &wireConn{Conn: conn, wire: w}, nil
}

// Listener counts the connections that a listener accepts.
func (w *Wire) Listener(l net.Listener) net.Listener {
	return &wireListener{Listener: l, wire: w}
}

type wireListener struct {
	net.Listener

	wire *Wire
}

// Accept waits for the next connection.
func (l *wireListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wireConn{Conn: conn, wire: l.wire}, nil
}

type wireConn struct {
	net.Conn

	wire *Wire
}

// Read counts what arrives.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Inc(int64(n))
	return n, err
}

// Write counts what is sent.
func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Inc(int64(n))
	return n, err
}
