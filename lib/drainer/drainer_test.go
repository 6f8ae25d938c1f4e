package drainer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/transporter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a connection that is closed while the head of its next request is read, during which the HTTP server
// still calls it idle.
func TestStopKeepsConnectionsWhoseRequestIsRead(t *testing.T) {
	now := start
	d := New(func() time.Time { return now }, WithQuiet(func(net.Conn) bool { return true }))
	conn := &watchedConn{}
	d.Track(conn, http.StateNew)
	d.Track(conn, http.StateIdle)
	conn.read.Store(true)
	now = start.Add(time.Minute)
	qt.Assert(t, d.Drain(now), qt.IsFalse)
	qt.Assert(t, d.conns[conn].since, qt.Equals, start) // Not closed.
	d.Track(conn, http.StateActive)
	d.Track(conn, http.StateIdle)
	qt.Assert(t, conn.read.Load(), qt.IsFalse)
}

// Guards against an HTTP/2 connection that is closed without the notice by which its caller knows what was not taken,
// and against a stop that waits for it.
func TestMultiplexedConnectionsAreLeftToTheServer(t *testing.T) {
	now := start
	d := New(func() time.Time { return now }, WithQuiet(func(net.Conn) bool { return true }))
	conn := &watchedConn{}
	conn.preface.Store(true)
	d.Track(conn, http.StateNew)
	d.Track(conn, http.StateActive)
	d.Track(conn, http.StateIdle)
	now = start.Add(time.Minute)
	qt.Assert(t, d.Drain(now), qt.IsTrue)
	qt.Assert(t, d.conns[conn].since, qt.Equals, start) // Not closed.
}

// stopped is a server whose planned stop begins while half of a request's head has been read.
type stopped struct {
	drainer *Drainer
	server  *http.Server
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// status reads one answer and returns its status.
func status(r *bufio.Reader) (int, error) {
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

func stopping(t *testing.T) *stopped {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &stopped{drainer: New(time.Now), address: listener.Addr().String()}
	s.server = transporter.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	listener = s.drainer.Attach(s.server, listener)
	go func() { _ = s.server.Serve(listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	s.conn, err = net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.conn.Close() })
	s.reader = bufio.NewReader(s.conn)
	_, err = s.conn.Write([]byte(request))
	qt.Assert(t, err, qt.IsNil)
	_, err = status(s.reader)
	qt.Assert(t, err, qt.IsNil)
	s.awaitRead(t, false)
	_, err = s.conn.Write([]byte(request[:10]))
	qt.Assert(t, err, qt.IsNil)
	s.awaitRead(t, true)
	return s
}

// awaitRead waits until the server has read of the next request, or counts its connection as without one.
func (s *stopped) awaitRead(t *testing.T, read bool) {
	t.Helper()
	for {
		s.drainer.mu.Lock()
		for conn, state := range s.drainer.conns {
			if !state.since.IsZero() && hasRead(conn) == read {
				s.drainer.mu.Unlock()
				return
			}
		}
		s.drainer.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Load: a planned stop of a busy host. Guards against a request that is cut off without an answer because half of its
// head has been read when the server is shut down; with http.Server.Shutdown alone it is.
func TestStopAnswersARequestWhoseHeadIsRead(t *testing.T) {
	s := stopping(t)
	ended := make(chan error, 1)
	go func() { ended <- s.drainer.Stop(context.Background(), s.server) }()
	// The stop has looked at the connection once it has closed another one that is without a request.
	other, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(other)
	_, err = other.Write([]byte(request))
	qt.Assert(t, err, qt.IsNil)
	_, err = status(reader)
	qt.Assert(t, err, qt.IsNil)
	_, err = reader.ReadByte()
	qt.Assert(t, err, qt.IsNotNil)
	_, err = s.conn.Write([]byte(request[10:]))
	qt.Assert(t, err, qt.IsNil)
	code, err := status(s.reader)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusNoContent)
	qt.Assert(t, <-ended, qt.IsNil)
}

// Guards against a stop that waits for callers who keep HTTP/2 connections open.
func TestStopEndsHTTP2Connections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	d := New(time.Now)
	server := transporter.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	address := listener.Addr().String()
	listener = d.Attach(server, listener)
	go func() { _ = server.Serve(listener) }()
	client := transporter.Client(transporter.Silence{Idle: time.Minute, Answer: time.Minute})
	r, err := client.Get("http://" + address)
	qt.Assert(t, err, qt.IsNil)
	_ = r.Body.Close()
	qt.Assert(t, r.ProtoMajor, qt.Equals, 2)
	qt.Assert(t, d.Stop(context.Background(), server), qt.IsNil)
}
