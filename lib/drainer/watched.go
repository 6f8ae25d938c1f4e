package drainer

import (
	"bytes"
	"net"
	"sync/atomic"
)

// watchedListener is a listener whose connections record that data was read. The HTTP server alone does not suffice: it
// reports a connection as idle until it has read the complete header of the next request.
type watchedListener struct{ net.Listener }

// Accept returns the next connection; TCP connections are wrapped in a watchedConn.
func (w watchedListener) Accept() (net.Conn, error) {
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

	// readSinceResponse is set when data was read since the last response, and readAny when data was read at all.
	readSinceResponse, readAny atomic.Bool
	// hasHTTP2Preface is set when the connection began with the HTTP/2 preface.
	hasHTTP2Preface atomic.Bool
}

// http2Preface is the start of the HTTP/2 connection preface. No HTTP/1 request method begins with it.
var http2Preface = []byte("PRI ")

// Read reads from the connection and records that data arrived.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.readSinceResponse.Store(true)
		if !c.readAny.Swap(true) {
			c.hasHTTP2Preface.Store(bytes.HasPrefix(p[:n], http2Preface))
		}
	}
	return n, err
}

// hasPartialRequest reports whether part of a request header has been read.
func hasPartialRequest(conn net.Conn) bool {
	w, ok := underlyingConn(conn).(*watchedConn)
	return ok && w.readSinceResponse.Load()
}
