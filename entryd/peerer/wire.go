package peerer

import (
	"context"
	"net"

	"github.com/samber/oops"
	tally "github.com/uber-go/tally/v4"
)

// ByteCounter counts all bytes on the connections between hosts, including HTTP/2 frames but not TCP and IP headers.
type ByteCounter struct {
	in, out tally.Counter
}

// NewByteCounter returns a byte counter that records its metrics in the scope.
func NewByteCounter(scope tally.Scope) *ByteCounter {
	return &ByteCounter{in: scope.Counter("peer_wire_in"), out: scope.Counter("peer_wire_out")}
}

// Dial opens a TCP connection whose bytes are counted.
func (b *ByteCounter) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, oops.In("peerer").Wrapf(err, "connect to %s", address)
	}
	return &countedConn{Conn: conn, counter: b}, nil
}

// Listener wraps a listener so that the bytes of accepted connections are counted.
func (b *ByteCounter) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: b}
}

type countedListener struct {
	net.Listener

	counter *ByteCounter
}

// Accept returns the next connection, with its bytes counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn

	counter *ByteCounter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Inc(int64(n))
	return n, err
}
