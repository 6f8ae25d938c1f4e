// Package receiver serves callers: it keeps their connections, closes idle ones, and stops without cutting a request
// off.
package receiver

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

const (
	// headerTimeout bounds the time in which a request's header must arrive.
	headerTimeout = 10 * time.Second
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 64 << 10
	// sweepInterval is the time between two looks for idle connections.
	sweepInterval = time.Second
	// noticeTime is how long a stopping host goes on to take connections: the load balancer asks every second and
	// believes the second answer.
	noticeTime = 3200 * time.Millisecond
	// closeTime is left at the end of the grace time.
	closeTime = 700 * time.Millisecond
)

// Receiver serves one address. It is safe for concurrent use.
type Receiver struct {
	idle     func() time.Duration
	grace    time.Duration
	clock    func() time.Time
	stopping atomic.Bool

	mu   sync.Mutex
	rest map[net.Conn]time.Time
}

// New returns a receiver. Idle returns how long a connection may stay without a request, 0 for no bound; grace is the
// time in which it must stop.
func New(idle func() time.Duration, grace time.Duration, clock func() time.Time) *Receiver {
	return &Receiver{idle: idle, grace: grace, clock: clock, rest: make(map[net.Conn]time.Time)}
}

// Stopping reports whether the receiver stops: answers close their connections, and the host is not ready.
func (r *Receiver) Stopping() bool {
	return r.stopping.Load()
}

// Run serves an address until ctx ends, then stops gracefully.
func (r *Receiver) Run(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return oops.In("receiver").Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: r.track,
		ErrorLog: stdlog.New(io.Discard, "", 0), // It reports what callers send; the handler logs what matters.
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return oops.In("receiver").Wrapf(err, "serve %s", address)
		case <-ticker.C:
			r.sweep(r.clock())
		case <-ctx.Done():
			return r.stop(server)
		}
	}
}

// stop lets the load balancer notice, then lets the requests in progress end.
func (r *Receiver) stop(server *http.Server) error {
	r.stopping.Store(true)
	time.Sleep(min(noticeTime, r.grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), r.grace-min(noticeTime, r.grace/2)-closeTime)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return oops.In("receiver").Wrapf(err, "stop")
}

// track notes which connections are without a request.
func (r *Receiver) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateIdle {
		r.rest[conn] = r.clock()
		return
	}
	delete(r.rest, conn)
}

// sweep closes connections that have been without a request for too long.
func (r *Receiver) sweep(now time.Time) {
	most := r.idle()
	if most <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, since := range r.rest {
		if now.Sub(since) > most {
			_ = conn.Close()
			delete(r.rest, conn)
		}
	}
}
