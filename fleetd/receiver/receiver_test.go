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

// silent is a connection of which only the end is of interest.
type silent struct {
	net.Conn

	// pending is true while the system holds bytes that the process has not read.
	pending, closed bool
}

func (s *silent) Close() error {
	s.closed = true
	return nil
}

// stopping returns a receiver and the way to set its time.
func stopping(idle time.Duration) (*Receiver, *time.Time) {
	now := start
	clock := func() time.Time { return now }
	r := New(func() time.Duration { return idle }, 8*time.Second, clock)
	r.conns = drainer.New(clock, drainer.WithQuiet(func(c net.Conn) bool {
		s, ok := c.(*silent)
		return !ok || !s.pending
	}))
	return r, &now
}

// Load: a planned stop of a busy host, whose process reads requests milliseconds after they have arrived. Guards against
// a request that has just been accepted and is cut off without an answer because its connection still counts as idle.
func TestStopKeepsConnectionsOnWhichARequestHasArrived(t *testing.T) {
	r, now := stopping(0)
	idle, arrived, fresh := &silent{}, &silent{}, &silent{}
	for _, c := range []*silent{idle, arrived, fresh} {
		r.conns.Track(c, http.StateNew)
		r.conns.Track(c, http.StateActive)
	}
	r.conns.Track(idle, http.StateIdle)
	r.conns.Track(arrived, http.StateIdle)
	*now = start.Add(noticeTime - time.Millisecond)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	qt.Assert(t, idle.closed, qt.IsFalse) // The load balancer has not noticed yet.
	r.conns.Track(fresh, http.StateIdle)
	arrived.pending = true
	*now = start.Add(noticeTime)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	qt.Assert(t, idle.closed, qt.IsTrue)
	qt.Assert(t, arrived.closed, qt.IsFalse)
	qt.Assert(t, fresh.closed, qt.IsFalse) // Its caller has just got an answer and may send on.
	r.conns.Track(idle, http.StateClosed)

	// The request is read, answered, and the connection is closed by its answer.
	r.conns.Track(arrived, http.StateActive)
	r.conns.Track(arrived, http.StateClosed)
	*now = now.Add(101 * time.Millisecond) // Longer than a connection is kept without a request.
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	qt.Assert(t, fresh.closed, qt.IsTrue)
	r.conns.Track(fresh, http.StateClosed)
	qt.Assert(t, r.drained(start, *now), qt.IsTrue)
}

// Guards against a stopping host that leaves while connections still come.
func TestStopWaitsForTheNewestConnection(t *testing.T) {
	r, now := stopping(0)
	conn := &silent{}
	*now = start.Add(noticeTime + time.Second)
	r.conns.Track(conn, http.StateNew)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	r.conns.Track(conn, http.StateClosed)
	qt.Assert(t, r.drained(start, *now), qt.IsFalse)
	*now = now.Add(100 * time.Millisecond)
	qt.Assert(t, r.drained(start, *now), qt.IsTrue)
}

// Guards against connections that are kept for ever without a request, and against the reverse.
func TestSweepClosesIdleConnections(t *testing.T) {
	r, now := stopping(time.Second)
	idle, arrived := &silent{}, &silent{pending: true}
	for _, c := range []*silent{idle, arrived} {
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
