package receiver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/router"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeConn is a connection that only records whether it was closed.
type fakeConn struct {
	net.Conn

	// pending is true while the kernel holds received bytes that the process has not read.
	pending, closed bool
}

// SetReadDeadline records that the server's wait for the next request has ended, upon which it closes the connection.
func (s *fakeConn) SetReadDeadline(at time.Time) error {
	s.closed = !at.IsZero()
	return nil
}

// newReceiver returns a receiver and a pointer to the time that its clock returns.
func newReceiver(idle time.Duration) (*Receiver, *time.Time) {
	now := start
	clock := func() time.Time { return now }
	r := New(func() router.Limits { return router.Limits{IdleTimeout: idle} }, 8*time.Second, clock)
	r.conns = drainer.New(clock, drainer.WithPendingCheck(func(c net.Conn) bool {
		s, ok := c.(*fakeConn)
		return !ok || !s.pending
	}))
	return r, &now
}

// stopAt returns the schedule of a stop that has begun at a given time.
func stopAt(began time.Time) *drainer.Schedule {
	return &drainer.Schedule{Noticed: began.Add(noticeTime), End: began.Add(time.Minute)}
}

// Load: a planned stop of a busy host, whose process reads requests milliseconds after they have arrived. Guards
// against a request that has just arrived and is cut off without an answer because its connection still counts as
// idle.
func TestStopKeepsConnectionsOnWhichARequestHasArrived(t *testing.T) {
	r, now := newReceiver(0)
	idle, arrived, fresh := &fakeConn{}, &fakeConn{}, &fakeConn{}
	for _, c := range []*fakeConn{idle, arrived, fresh} {
		r.conns.Track(c, http.StateNew)
		r.conns.Track(c, http.StateActive)
	}
	r.conns.Track(idle, http.StateIdle)
	r.conns.Track(arrived, http.StateIdle)
	*now = start.Add(noticeTime - time.Millisecond)
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsFalse)
	qt.Assert(t, idle.closed, qt.IsFalse) // The load balancer has not detected the stop yet.
	r.conns.Track(fresh, http.StateIdle)
	arrived.pending = true
	*now = start.Add(noticeTime)
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsFalse)
	qt.Assert(t, idle.closed, qt.IsTrue)
	qt.Assert(t, arrived.closed, qt.IsFalse)
	qt.Assert(t, fresh.closed, qt.IsFalse) // Its caller has just received an answer and may send another request.
	r.conns.Track(idle, http.StateClosed)

	// The request is read and answered, and its answer closes the connection.
	r.conns.Track(arrived, http.StateActive)
	r.conns.Track(arrived, http.StateClosed)
	*now = now.Add(101 * time.Millisecond) // Longer than an idle connection is kept during a stop.
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsFalse)
	qt.Assert(t, fresh.closed, qt.IsTrue)
	r.conns.Track(fresh, http.StateClosed)
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsTrue)
}

// Guards against a host that stops while new connections still arrive.
func TestStopWaitsForTheNewestConnection(t *testing.T) {
	r, now := newReceiver(0)
	conn := &fakeConn{}
	*now = start.Add(noticeTime + time.Second)
	r.conns.Track(conn, http.StateNew)
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsFalse)
	r.conns.Track(conn, http.StateClosed)
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsFalse)
	*now = now.Add(100 * time.Millisecond)
	qt.Assert(t, r.drained(stopAt(start), *now), qt.IsTrue)
}

// Guards against idle connections that are never closed, and against closing a connection on which a request has
// arrived.
func TestSweepClosesIdleConnections(t *testing.T) {
	r, now := newReceiver(time.Second)
	idle, arrived := &fakeConn{}, &fakeConn{pending: true}
	for _, c := range []*fakeConn{idle, arrived} {
		r.conns.Track(c, http.StateNew)
		r.conns.Track(c, http.StateIdle)
	}
	*now = start.Add(time.Second)
	r.sweep(*now)
	qt.Assert(t, idle.closed, qt.IsFalse)
	*now = now.Add(time.Millisecond)
	r.sweep(*now)
	qt.Assert(t, idle.closed, qt.IsTrue)
	qt.Assert(t, arrived.closed, qt.IsFalse)
}

// pipeListener accepts one connection, whose other end is a pipe of the test.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Load: a planned stop while a leaf hangs. Guards against a request that is in progress when the grace time ends and whose
// connection is closed without an answer.
func TestStopAnswersWhatIsStillInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		listener := &pipeListener{conns: make(chan net.Conn, 1)}
		listener.conns <- near
		r := New(func() router.Limits { return router.Limits{} }, 6*time.Second, time.Now)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		began := time.Now()
		go func() {
			ended <- r.serve(ctx, listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				<-request.Context().Done()
				qt.Check(t, context.Cause(request.Context()), qt.ErrorIs, drainer.ErrStopping)
				w.WriteHeader(http.StatusGatewayTimeout)
			}))
		}()
		_, err := far.Write([]byte("GET /one/1 HTTP/1.1\r\nHost: n\r\n\r\n"))
		qt.Assert(t, err, qt.IsNil)
		stop()
		response, err := http.ReadResponse(bufio.NewReader(far), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
		qt.Assert(t, <-ended, qt.IsNil)
		qt.Assert(t, time.Since(began) < 6*time.Second, qt.IsTrue)
		_ = far.Close()
	})
}
