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

// Guards against closing a connection while the header of its next request is being read, during which the HTTP server
// still reports it as idle.
func TestStopKeepsConnectionsWhoseRequestIsRead(t *testing.T) {
	now := start
	d := New(func() time.Time { return now }, WithPendingCheck(func(net.Conn) bool { return true }))
	conn := &watchedConn{}
	d.Track(conn, http.StateNew)
	d.Track(conn, http.StateIdle)
	conn.readSinceResponse.Store(true)
	now = start.Add(time.Minute)
	qt.Assert(t, d.Drain(now), qt.IsFalse)
	qt.Assert(t, d.conns[conn].idleSince, qt.Equals, start) // Not closed.
	d.Track(conn, http.StateActive)
	d.Track(conn, http.StateIdle)
	qt.Assert(t, conn.readSinceResponse.Load(), qt.IsFalse)
}

// Guards against closing an HTTP/2 connection without the GOAWAY frame that shows the caller which requests were not
// processed, and against a stop that waits for such connections.
func TestMultiplexedConnectionsAreLeftToTheServer(t *testing.T) {
	now := start
	d := New(func() time.Time { return now }, WithPendingCheck(func(net.Conn) bool { return true }))
	conn := &watchedConn{}
	conn.hasHTTP2Preface.Store(true)
	d.Track(conn, http.StateNew)
	d.Track(conn, http.StateActive)
	d.Track(conn, http.StateIdle)
	now = start.Add(time.Minute)
	qt.Assert(t, d.Drain(now), qt.IsTrue)
	qt.Assert(t, d.conns[conn].idleSince, qt.Equals, start) // Not closed.
}

// stoppingServer is a server that has read the first part of a request header when its graceful stop begins.
type stoppingServer struct {
	drainer *Drainer
	server  *http.Server
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// status reads one response and returns its status code.
func status(r *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func startStoppingServer(t *testing.T) *stoppingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &stoppingServer{drainer: New(time.Now), address: listener.Addr().String()}
	s.server = transporter.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
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

// awaitRead waits until the server's connection is idle and has read part of the next request (read) or none of it
// (!read).
func (s *stoppingServer) awaitRead(t *testing.T, read bool) {
	t.Helper()
	for {
		s.drainer.mu.Lock()
		for conn, state := range s.drainer.conns {
			if !state.idleSince.IsZero() && hasPartialRequest(conn) == read {
				s.drainer.mu.Unlock()
				return
			}
		}
		s.drainer.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Load: a graceful stop of a busy host. Guards against a request that is aborted without a response because only part
// of its header has been read when the server shuts down, as happens with http.Server.Shutdown alone.
func TestStopAnswersARequestWhoseHeadIsRead(t *testing.T) {
	s := startStoppingServer(t)
	stopped := make(chan error, 1)
	go func() { stopped <- s.drainer.Stop(context.Background(), s.server) }()
	// Once Stop has closed another, idle connection, it has also checked this one.
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
	qt.Assert(t, <-stopped, qt.IsNil)
}

// A request arrives and is read between the check that a connection is idle and its end. Guards against a request that has been
// read, and may have been passed on, and whose connection is closed without an answer.
func TestRequestThatArrivesDuringTheCheckIsAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	caller, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	sent := false
	d := New(time.Now, WithPendingCheck(func(conn net.Conn) bool {
		if sent {
			return false
		}
		sent = true
		_, err := caller.Write([]byte(request))
		qt.Check(t, err, qt.IsNil)
		for !hasPartialRequest(conn) {
			time.Sleep(time.Millisecond)
		}
		return true
	}))
	server := transporter.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server reads on while the handler runs, and cancels the request when that fails.
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		case <-time.After(50 * time.Millisecond):
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	listener = d.Attach(server, listener)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	reader := bufio.NewReader(caller)
	_, err = caller.Write([]byte(request))
	qt.Assert(t, err, qt.IsNil)
	_, err = status(reader)
	qt.Assert(t, err, qt.IsNil)
	s := &stoppingServer{drainer: d}
	s.awaitRead(t, false)
	d.Close(time.Now().Add(time.Minute), time.Second)
	code, err := status(reader)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusNoContent)
	s.awaitRead(t, false)
	sent = false
	d.Close(time.Now().Add(time.Minute), time.Second)
	qt.Assert(t, sent, qt.IsTrue)
	_, err = status(reader)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a stop that waits for callers that keep HTTP/2 connections open.
func TestStopEndsHTTP2Connections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	d := New(time.Now)
	server := transporter.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	address := listener.Addr().String()
	listener = d.Attach(server, listener)
	go func() { _ = server.Serve(listener) }()
	client := transporter.NewClient(transporter.PingPolicy{Interval: time.Minute, Timeout: time.Minute})
	r, err := client.Get("http://" + address)
	qt.Assert(t, err, qt.IsNil)
	_ = r.Body.Close()
	qt.Assert(t, r.ProtoMajor, qt.Equals, 2)
	qt.Assert(t, d.Stop(context.Background(), server), qt.IsNil)
}
