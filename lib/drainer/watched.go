package drainer

import (
	"bytes"
	"net"
	"sync/atomic"
)

// watched is a listener whose connections note when something is read. The HTTP server calls a connection idle until it
// has read the whole head of the next request.
type watched struct{ net.Listener }

// Accept returns the next connection.
func (w watched) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &watchedConn{TCPConn: tcp}, nil
	}
	return conn, nil
}

type watchedConn struct {
	*net.TCPConn

	// read is set when something was read since the last answer, and begun when something was read at all.
	read, begun atomic.Bool
	// preface is set when the first bytes are those of HTTP/2.
	preface atomic.Bool
}

// preface are the first bytes of an HTTP/2 connection; no method of a request begins like them.
var preface = []byte("PRI ")

// Read reads from the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.read.Store(true)
		if !c.begun.Swap(true) {
			c.preface.Store(bytes.HasPrefix(p[:n], preface))
		}
	}
	return n, err
}

// hasRead reports whether the head of a request has been read in part.
func hasRead(conn net.Conn) bool {
	w, ok := plain(conn).(*watchedConn)
	return ok && w.read.Load()
}
