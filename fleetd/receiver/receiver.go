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
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/drainer"
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
	// drainInterval is the time between two looks at the connections of a stopping host.
	drainInterval = 20 * time.Millisecond
	// closeTime is left at the end of the grace time.
	closeTime = 700 * time.Millisecond
)

// Receiver serves one address. It is safe for concurrent use.
type Receiver struct {
	idle  func() time.Duration
	grace time.Duration
	clock func() time.Time
	// conns knows the connections of callers.
	conns    *drainer.Drainer
	notice   time.Duration
	stopping atomic.Bool
}

// Option changes a receiver.
type Option func(*Receiver)

// WithNotice sets how long a stopping host goes on to take connections before it closes those without a request.
func WithNotice(notice time.Duration) Option {
	return func(r *Receiver) { r.notice = notice }
}

// New returns a receiver. Idle returns how long a connection may stay without a request, 0 for no bound; grace is the
// time in which it must stop.
func New(idle func() time.Duration, grace time.Duration, clock func() time.Time, options ...Option) *Receiver {
	r := &Receiver{
		idle: idle, grace: grace, clock: clock, conns: drainer.New(clock),
		notice: min(noticeTime, grace/2), //nolint:mnd // The other half is for the requests.
	}
	for _, o := range options {
		o(r)
	}
	return r
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
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: stdlog.New(io.Discard, "", 0), // It reports what callers send; the handler logs what matters.
	}
	listener = r.conns.Attach(server, listener)
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

// stop lets the load balancer notice, then lets the requests in progress end. The address is served until no connection
// is left: one that was accepted by the system but not yet by this process would be reset with the listener.
func (r *Receiver) stop(server *http.Server) error {
	r.stopping.Store(true)
	began := r.clock()
	end := began.Add(r.grace - closeTime)
	for now := began; now.Before(end) && !r.drained(began, now); now = r.clock() {
		time.Sleep(drainInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainInterval)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return oops.In("receiver").Wrapf(err, "stop")
}

// drained closes connections without a request once the load balancer has noticed the stop, and reports whether no
// connection is left and none has come for a while.
func (r *Receiver) drained(began, now time.Time) bool {
	return now.Sub(began) >= r.notice && r.conns.Drain(now)
}

// sweep closes connections that have been without a request for too long.
func (r *Receiver) sweep(now time.Time) {
	if most := r.idle(); most > 0 {
		r.conns.Close(now, most)
	}
}
