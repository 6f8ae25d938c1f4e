// Package receiver serves callers: it tracks their connections, closes idle ones, and stops without interrupting
// requests.
package receiver

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/peeker"
	"lycheelift.example/lib/router"
)

const (
	// sweepInterval is the interval at which idle connections are closed.
	sweepInterval = time.Second
	// noticeTime is how long a stopping host continues to accept connections: the load balancer checks the host every
	// second and acts on the second result.
	noticeTime = 3200 * time.Millisecond
	// drainInterval is the interval at which a stopping host checks its connections.
	drainInterval = 20 * time.Millisecond
	// shutdownReserve is the part of the grace time that is reserved for the answers to cancelled requests and for closing
	// the server, and answerTime the part of it for the answers.
	shutdownReserve = 700 * time.Millisecond
	answerTime      = 300 * time.Millisecond
)

// Receiver serves one address. It is safe for concurrent use.
type Receiver struct {
	limits func() router.Limits
	grace  time.Duration
	clock  func() time.Time
	// conns tracks the callers' connections.
	conns  *drainer.Drainer
	notice time.Duration
	// schedule is nil until the receiver stops.
	schedule atomic.Pointer[drainer.Schedule]
}

// Option configures a Receiver.
type Option func(*Receiver)

// WithNotice sets how long a stopping host continues to accept connections before it closes those without a request.
func WithNotice(notice time.Duration) Option {
	return func(r *Receiver) { r.notice = notice }
}

// New returns a receiver. limits returns the limits on callers that are in force; grace is the time within which the receiver
// must stop.
func New(limits func() router.Limits, grace time.Duration, clock func() time.Time, options ...Option) *Receiver {
	r := &Receiver{
		limits: limits, grace: grace, clock: clock, conns: drainer.New(clock),
		notice: min(noticeTime, grace/2), //nolint:mnd // The other half is left for requests in progress.
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Stopping reports whether the receiver is stopping. The host is then not ready, and every answer closes its
// connection.
func (r *Receiver) Stopping() bool {
	return r.schedule.Load() != nil
}

// Schedule returns the schedule of the graceful stop, nil while the receiver is not stopping.
func (r *Receiver) Schedule() *drainer.Schedule {
	return r.schedule.Load()
}

// Run serves an address until ctx ends, then stops gracefully.
func (r *Receiver) Run(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return oops.In("receiver").Wrapf(err, "listen on %s", address)
	}
	return r.serve(ctx, listener, handler)
}

// serve serves the connections of a listener until ctx ends, then stops gracefully.
func (r *Receiver) serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	requests, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	server := &http.Server{ //nolint:gosec // headerConn limits the time of a header.
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler:     handler, MaxHeaderBytes: math.MaxInt32, // headerConn limits the size.
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return peeker.WithConn(ctx, conn.(*headerConn).NetConn()) //nolint:forcetypeassert // The listener returns nothing else.
		},
		ErrorLog: stdlog.New(io.Discard, "", 0), // It reports malformed input from callers; the handler logs relevant errors.
	}
	listener = headerListener{r.conns.Attach(server, listener), r.limits, r.clock}
	server.ConnState = r.track
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return oops.In("receiver").Wrapf(err, "serve %s", listener.Addr())
		case <-ticker.C:
			r.sweep(r.clock())
		case <-ctx.Done():
			return r.stop(server, cancel)
		}
	}
}

// track records a state change of a connection, as an http.Server.ConnState callback.
func (r *Receiver) track(conn net.Conn, status http.ConnState) {
	if c, ok := conn.(*headerConn); ok {
		c.track(status)
	}
	r.conns.Track(conn, status)
}

// stop waits for the load balancer to detect the stop, then for the requests in progress to end. It serves the
// address until no connection remains: closing the listener resets connections that the kernel has accepted but this
// process has not. Requests that are still in progress at the end are cancelled and get an answer before their connections
// are closed.
func (r *Receiver) stop(server *http.Server, cancelRequests context.CancelCauseFunc) error {
	began := r.clock()
	schedule := &drainer.Schedule{Noticed: began.Add(r.notice), End: began.Add(r.grace - shutdownReserve)}
	r.schedule.Store(schedule)
	if !r.awaitDrained(schedule, schedule.End) {
		cancelRequests(drainer.ErrStopping)
		r.awaitDrained(schedule, schedule.End.Add(answerTime))
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainInterval)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return oops.In("receiver").Wrapf(err, "stop")
}

// awaitDrained waits until no connection remains. It reports false if there still are some at the given time.
func (r *Receiver) awaitDrained(s *drainer.Schedule, end time.Time) bool {
	for now := r.clock(); now.Before(end); now = r.clock() {
		if r.drained(s, now) {
			return true
		}
		time.Sleep(drainInterval)
	}
	return false
}

// drained closes connections without a request once the load balancer has had time to detect the stop. It reports
// whether no connection remains and none has been accepted recently.
func (r *Receiver) drained(s *drainer.Schedule, now time.Time) bool {
	return !now.Before(s.Noticed) && r.conns.Drain(now)
}

// sweep closes connections that have been idle for too long.
func (r *Receiver) sweep(now time.Time) {
	if limit := r.limits().IdleTimeout; limit > 0 {
		r.conns.Close(now, limit)
	}
}
