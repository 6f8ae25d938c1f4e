package peerer

import (
	"context"
	"net"

	"github.com/samber/oops"
	tally "github.com/uber-go/tally/v4"
)

// Wire counts all bytes on the connections between hosts, including HTTP/2 frames but not TCP and IP headers.
type ByteCounter struct {
	in, out tally.Counter
}

// NewWire returns a byte counter that records its metrics in the scope.
func NewByteCounter(scope tally.Scope) *ByteCounter {
	return &ByteCounter{in: scope.Counter("peer_wire_in"), out: scope.Counter("peer_wire_out")}
}

// Dial opens a TCP connection whose bytes are counted.
func (w *ByteCounter) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, oops.In("peerer").Wrapf(err, "connect to %s", address)
	}
	return &countedConn{Conn: conn, wire: w}, nil
}

// Listener wraps a listener so that the bytes of accepted connections are counted.
func (w *ByteCounter) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, wire: w}
}

type countedListener struct {
	net.Listener

	wire *ByteCounter
}

// Accept returns the next connection, with its bytes counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, wire: l.wire}, nil
}

type countedConn struct {
	net.Conn

	wire *ByteCounter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Inc(int64(n))
	return n, err
}
