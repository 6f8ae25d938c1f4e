package receiver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/peeker"
	"lycheelift.example/lib/router"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes limit the time to receive a request's header, and its size in bytes, where the
	// configuration sets no limit.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// headerSlackBytes is added to the limit: the server reads ahead, and what it has read beyond the header counts.
	headerSlackBytes = 4 << 10
	// refusalTimeout limits the time to send a refusal and to discard what the caller still sends. A connection that is closed
	// before resets, and the caller may lose the refusal.
	refusalTimeout = 500 * time.Millisecond
)

// phase is what is expected next from the caller of a connection.
type phase int

const (
	// awaitingFirst is the phase before the first byte of the first request.
	awaitingFirst phase = iota
	// awaitingNext is the phase between a response and the first byte of the next request.
	awaitingNext
	// receivingHeader is the phase in which a request's header is received.
	receivingHeader
	// responding is the phase from the end of the header until the response.
	responding
)

// headerListener accepts connections on which headers are limited.
type headerListener struct {
	net.Listener

	limits func() router.Limits
	clock  func() time.Time
}

// Accept returns the next connection.
func (l headerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerConn{Conn: conn, limits: l.limits, clock: l.clock, began: l.clock()}, nil
}

// headerConn limits the size of a request's header and the time to receive it. The limits of http.Server cannot change while it
// runs; these are read again for each read, so that a new configuration also applies to open connections.
type headerConn struct {
	net.Conn

	limits func() router.Limits
	clock  func() time.Time

	mu    sync.Mutex
	phase phase
	// began is when the connection was accepted, or when the first byte of the present header was read.
	began time.Time
	// received is the number of bytes of the present header.
	received int
}

// errHeaderRefused means that the caller was told that its header is too large or takes too long.
var errHeaderRefused = errors.New("the header was refused")

// NetConn returns the connection below.
func (c *headerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the stream to the caller. It does nothing if the connection below has no separate streams.
func (c *headerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// track records a state change, as an http.Server.ConnState callback.
func (c *headerConn) track(status http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StateActive: // The header has been read.
		c.phase = responding
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.phase = awaitingNext
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// SetReadDeadline sets the deadline of reads, except while a header is expected or received: then the limits determine it.
func (c *headerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limited() {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// limited reports whether the limits apply. The caller must hold c.mu.
func (c *headerConn) limited() bool {
	return c.phase == awaitingFirst || c.phase == receivingHeader
}

// Read reads from the connection. It refuses a header that is too large, or that is incomplete when its time is over.
func (c *headerConn) Read(p []byte) (int, error) {
	for {
		c.arm()
		n, err := c.Conn.Read(p)
		switch {
		case n > 0 && c.tooLarge(n):
			return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		}
		switch c.outcome() {
		case readAgain:
		case refuseHeader:
			return 0, c.refuse(http.StatusRequestTimeout)
		case endWait:
			return 0, err
		}
	}
}

// arm sets the deadline of the next read if the limits apply. What has already arrived is read after the deadline too: this process
// may have been suspended.
func (c *headerConn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limited() {
		return
	}
	at := c.deadline()
	if !c.clock().Before(at) && !peeker.NoPendingData(c.Conn) {
		at = time.Time{} // The read does not wait.
	}
	_ = c.Conn.SetReadDeadline(at)
}

// deadline returns when the present header must be complete, or when the first one must have begun. The caller must hold c.mu.
func (c *headerConn) deadline() time.Time {
	limits := c.limits()
	timeout := limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	if c.phase == awaitingFirst {
		timeout = max(timeout, limits.IdleTimeout)
	}
	return c.began.Add(timeout)
}

// outcome is what follows when the deadline of a read has passed.
type outcome int

const (
	// endWait returns the error of the read.
	endWait outcome = iota
	// readAgain reads again, because the deadline has moved or data has arrived.
	readAgain
	// refuseHeader refuses the request whose header is incomplete.
	refuseHeader
)

// outcome returns what follows when the deadline of a read has passed.
func (c *headerConn) outcome() outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.limited():
		return endWait
	case c.clock().Before(c.deadline()) || !peeker.NoPendingData(c.Conn):
		return readAgain
	case c.phase == awaitingFirst:
		return endWait // There is no request that could be refused.
	}
	return refuseHeader
}

// tooLarge counts bytes that were read and reports whether they make the header too large.
func (c *headerConn) tooLarge(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case responding:
		return false
	case awaitingFirst, awaitingNext:
		c.phase, c.began, c.received = receivingHeader, c.clock(), 0
	case receivingHeader:
	}
	c.received += n
	return c.received > c.maxBytes()+headerSlackBytes
}

// maxBytes returns the maximum size of a header.
func (c *headerConn) maxBytes() int {
	if limit := c.limits().Header; limit > 0 {
		return limit
	}
	return defaultHeaderBytes
}

// refuse tells the caller that its request has not been read, and returns the error that ends the connection.
func (c *headerConn) refuse(status int) error {
	now := c.clock()
	c.mu.Lock()
	took, received, timeout := now.Sub(c.began), c.received, c.deadline().Sub(c.began)
	c.mu.Unlock()
	eventer.HeaderRefused.Log(now, "caller", c.RemoteAddr(), "status", status, "received", received, "limit", c.maxBytes(), "took", took, "timeout", timeout)
	_ = c.SetDeadline(now.Add(refusalTimeout))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	if err == nil && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn) // It ends when the caller closes the connection, or at the deadline.
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeaderRefused}
}
