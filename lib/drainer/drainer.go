// Package drainer knows an HTTP server's connections and closes those without a request, so that a planned stop cuts off
// no request that has arrived.
package drainer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lycheelift.example/lib/peeker"
)

const (
	// checkInterval is the time between two looks at the connections of a stopping server.
	checkInterval = 20 * time.Millisecond
	// quietTime is how long a stopping server keeps a connection without a request, and its address after the newest
	// connection.
	quietTime = 100 * time.Millisecond
)

// Drainer knows the connections of one server. It is safe for concurrent use.
type Drainer struct {
	clock func() time.Time
	// quiet reports whether a connection without a request holds no byte of the next one.
	quiet func(net.Conn) bool

	mu    sync.Mutex
	conns map[net.Conn]*state
	// opened is when the newest connection was accepted.
	opened time.Time
}

// state is what is known of one connection.
type state struct {
	// since is when the last request ended, or the zero time while there is one or was none.
	since time.Time
	// multiplexed is true for HTTP/2, whose server tells the other side that it stops before it closes.
	multiplexed bool
}

// Option changes a drainer.
type Option func(*Drainer)

// WithQuiet sets how a connection is looked at before it is closed.
func WithQuiet(quiet func(net.Conn) bool) Option {
	return func(d *Drainer) { d.quiet = quiet }
}

// New returns a drainer without connections.
func New(clock func() time.Time, options ...Option) *Drainer {
	d := &Drainer{clock: clock, quiet: peeker.Quiet, conns: make(map[net.Conn]*state)}
	for _, o := range options {
		o(d)
	}
	return d
}

// Attach has a server tell of its connections. The server must be given the listener that it returns.
func (d *Drainer) Attach(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = d.Track
	return watched{listener}
}

// Track notes the state of a connection.
func (d *Drainer) Track(conn net.Conn, now http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now == http.StateClosed || now == http.StateHijacked {
		delete(d.conns, conn)
		return
	}
	s, ok := d.conns[conn]
	if !ok {
		s = &state{}
		d.conns[conn] = s
		d.opened = d.clock()
	}
	s.since = time.Time{}
	if now == http.StateNew {
		return
	}
	s.multiplexed = isMultiplexed(conn)
	if now == http.StateIdle {
		if w, ok := plain(conn).(*watchedConn); ok {
			w.read.Store(false)
		}
		s.since = d.clock()
	}
}

// Close closes connections that have been without a request for longer than a time. One on which a request has begun to
// arrive is left open, whether this process has read some of it or not.
func (d *Drainer) Close(now time.Time, most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, s := range d.conns {
		if s.since.IsZero() || s.multiplexed || now.Sub(s.since) <= most {
			continue
		}
		if !hasRead(conn) && d.quiet(plain(conn)) {
			_ = conn.Close()
			s.since = time.Time{}
		}
	}
}

// Drain closes connections without a request, and reports whether none is left and none has come for a while. HTTP/2
// connections are left to the server.
func (d *Drainer) Drain(now time.Time) bool {
	d.Close(now, quietTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.conns {
		if !s.multiplexed {
			return false
		}
	}
	return now.Sub(d.opened) >= quietTime
}

// Stop lets the requests that have arrived end and then shuts the server down. The address is served until no connection
// is left: one that was accepted by the system but not yet by this process would be reset with the listener. What has
// not ended with ctx is cut off.
func (d *Drainer) Stop(ctx context.Context, server *http.Server) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for !d.Drain(d.clock()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return server.Close()
	}
	return err
}

// plain returns the connection under TLS.
func plain(conn net.Conn) net.Conn {
	if t, ok := conn.(*tls.Conn); ok {
		return t.NetConn()
	}
	return conn
}

// isMultiplexed reports whether a connection whose first request has been read speaks HTTP/2.
func isMultiplexed(conn net.Conn) bool {
	if t, ok := conn.(*tls.Conn); ok {
		return t.ConnectionState().NegotiatedProtocol == "h2"
	}
	w, ok := conn.(*watchedConn)
	return ok && w.preface.Load()
}
