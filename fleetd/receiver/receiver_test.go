package receiver

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/drainer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeConn is a connection that only records whether it was closed.
type fakeConn struct {
	net.Conn

	// pending is true while the kernel holds received bytes that the process has not read.
	pending, closed bool
}

func (s *fakeConn) Close() error {
	s.closed = true
	return nil
}

// newReceiver returns a receiver and a pointer to the time that its clock returns.
func newReceiver(idle time.Duration) (*Receiver, *time.Time) {
	now := start
	clock := func() time.Time { return now }
	r := New(func() time.Duration { return idle }, 8*time.Second, clock)
	r.conns = drainer.New(clock, drainer.WithPendingCheck(func(c net.Conn) bool {
		s, ok := c.(*fakeConn)
		return !ok || !s.pending
	}))
	return r, &now
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
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	qt.Assert(t, idle.closed, qt.IsFalse) // The load balancer has not detected the stop yet.
	r.conns.Track(fresh, http.StateIdle)
	arrived.pending = true
	*now = start.Add(noticeTime)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	qt.Assert(t, idle.closed, qt.IsTrue)
	qt.Assert(t, arrived.closed, qt.IsFalse)
	qt.Assert(t, fresh.closed, qt.IsFalse) // Its caller has just received an answer and may send another request.
	r.conns.Track(idle, http.StateClosed)

	// The request is read and answered, and its answer closes the connection.
	r.conns.Track(arrived, http.StateActive)
	r.conns.Track(arrived, http.StateClosed)
	*now = now.Add(101 * time.Millisecond) // Longer than an idle connection is kept during a stop.
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	qt.Assert(t, fresh.closed, qt.IsTrue)
	r.conns.Track(fresh, http.StateClosed)
	qt.Assert(t, r.drained(start, *now), qt.IsTrue)
}

// Guards against a host that stops while new connections still arrive.
func TestStopWaitsForTheNewestConnection(t *testing.T) {
	r, now := newReceiver(0)
	conn := &fakeConn{}
	*now = start.Add(noticeTime + time.Second)
	r.conns.Track(conn, http.StateNew)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	r.conns.Track(conn, http.StateClosed)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	*now = now.Add(100 * time.Millisecond)
	qt.Assert(t, r.drained(start, *now), qt.IsTrue)
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
