// Package drainer tracks an HTTP server's connections and closes idle ones, so that a graceful stop does not abort a
// request that has already arrived.
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
	// checkInterval is the time between two checks of the connections of a stopping server.
	checkInterval = 20 * time.Millisecond
	// idleGrace is how long a stopping server keeps an idle connection open, and how long it keeps listening after the
	// last connection was accepted.
	idleGrace = 100 * time.Millisecond
)

// Drainer tracks the connections of one server. It is safe for concurrent use.
type Drainer struct {
	clock func() time.Time
	// noPendingData reports whether no byte of the next request waits on an idle connection.
	noPendingData func(net.Conn) bool

	mu    sync.Mutex
	conns map[net.Conn]*connState
	// lastAccepted is when the most recent connection was accepted.
	lastAccepted time.Time
}

// connState is the state of one connection.
type connState struct {
	// idleSince is when the last request ended. It is zero while a request is running and before the first one.
	idleSince time.Time
	// http2 is true for HTTP/2, where the server announces the shutdown to the client (GOAWAY) before it closes.
	http2 bool
	// expired is true once Close has ended the wait for the next request.
	expired bool
}

// Option configures a drainer.
type Option func(*Drainer)

// WithPendingCheck sets the function that checks that no data waits on a connection before it is closed.
func WithPendingCheck(noPendingData func(net.Conn) bool) Option {
	return func(d *Drainer) { d.noPendingData = noPendingData }
}

// New returns a drainer that does not track any connection yet.
func New(clock func() time.Time, options ...Option) *Drainer {
	d := &Drainer{clock: clock, noPendingData: peeker.NoPendingData, conns: make(map[net.Conn]*connState)}
	for _, o := range options {
		o(d)
	}
	return d
}

// Attach makes a server report its connections to the drainer. The server must serve on the returned listener.
func (d *Drainer) Attach(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = d.Track
	return watchedListener{listener}
}

// Track records a state change of a connection, as an http.Server.ConnState callback.
func (d *Drainer) Track(conn net.Conn, status http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if status == http.StateClosed || status == http.StateHijacked {
		delete(d.conns, conn)
		return
	}
	s, ok := d.conns[conn]
	if !ok {
		s = &connState{}
		d.conns[conn] = s
		d.lastAccepted = d.clock()
	}
	s.idleSince = time.Time{}
	if s.expired {
		s.expired = false // The request arrived just before.
		_ = conn.SetReadDeadline(time.Time{})
	}
	if status == http.StateNew {
		return
	}
	s.http2 = isHTTP2(conn)
	if status == http.StateIdle {
		if w, ok := underlyingConn(conn).(*watchedConn); ok {
			w.readSinceResponse.Store(false)
		}
		s.idleSince = d.clock()
	}
}

// expiredDeadline lies in the past.
var expiredDeadline = time.Unix(1, 0)

// Close closes HTTP/1 connections that have been idle for longer than maxIdle. A connection on which part of a request
// has arrived stays open, whether or not this process has read any of it. The server itself closes the connection, when its
// wait for the next request expires: a request that it has read meanwhile is answered.
func (d *Drainer) Close(now time.Time, maxIdle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, s := range d.conns {
		if s.idleSince.IsZero() || s.http2 || now.Sub(s.idleSince) <= maxIdle {
			continue
		}
		if !hasPartialRequest(conn) && d.noPendingData(underlyingConn(conn)) {
			s.expired = true
			_ = conn.SetReadDeadline(expiredDeadline)
		}
	}
}

// Drain closes idle connections. It reports whether no connection remains and none was accepted within idleGrace.
// HTTP/2 connections are not counted: the server's own shutdown handles them.
func (d *Drainer) Drain(now time.Time) bool {
	d.Close(now, idleGrace)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.conns {
		if !s.http2 {
			return false
		}
	}
	return now.Sub(d.lastAccepted) >= idleGrace
}

// Stop waits for requests that have arrived and then shuts the server down. The listener stays open until no
// connection remains, because closing it would reset connections that the kernel has accepted but this process has
// not. When ctx ends, remaining requests are aborted.
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

// underlyingConn returns the connection below TLS and other layers, or conn itself without them.
func underlyingConn(conn net.Conn) net.Conn {
	for {
		layer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = layer.NetConn()
	}
}

// isHTTP2 reports whether a connection uses HTTP/2. It is valid once the first request has been read.
func isHTTP2(conn net.Conn) bool {
	if t, ok := conn.(*tls.Conn); ok {
		return t.ConnectionState().NegotiatedProtocol == "h2"
	}
	w, ok := underlyingConn(conn).(*watchedConn)
	return ok && w.hasHTTP2Preface.Load()
}
