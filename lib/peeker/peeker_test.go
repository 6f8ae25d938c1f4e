package peeker_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/peeker"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	far, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// Guards against a check that blocks on a goroutine that reads from the connection, as a server does on an idle
// connection: a stopping host would then be killed at the end of its grace period.
func TestLookDoesNotWaitForAReader(t *testing.T) {
	near, far := connPair(t)
	reading, read := make(chan struct{}), make(chan error, 1)
	go func() {
		close(reading)
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	<-reading
	for range 1000 {
		qt.Assert(t, peeker.NoPendingData(near), qt.IsTrue)
	}
	_, err := far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-read, qt.IsNil)
}

// Guards against closing a connection that has pending data, and against using one that the other side has closed.
func TestBytesAndEndsAreSeen(t *testing.T) {
	near, far := connPair(t)
	_, err := far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	for peeker.NoPendingData(near) {
	}
	_, err = near.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, peeker.NoPendingData(near), qt.IsTrue)
	qt.Assert(t, far.Close(), qt.IsNil)
	for peeker.NoPendingData(near) {
	}
}

// Guards against a request that is carried out although its sender no longer waits: the end of the connection must be seen
// while another goroutine reads from it, and also when the server has not noticed it yet.
func TestEndOfTheCallerIsSeen(t *testing.T) {
	near, far := connPair(t)
	ctx := peeker.WithConn(context.Background(), near)
	qt.Assert(t, peeker.CallerWaits(ctx), qt.IsTrue)
	_, err := far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	for peeker.NoPendingData(near) {
	}
	qt.Assert(t, peeker.CallerWaits(ctx), qt.IsTrue)
	_, err = near.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, far.Close(), qt.IsNil)
	for peeker.CallerWaits(ctx) {
	}
	ended, cancel := context.WithCancel(context.Background())
	qt.Assert(t, peeker.CallerWaits(ended), qt.IsTrue)
	cancel()
	qt.Assert(t, peeker.CallerWaits(ended), qt.IsFalse)
}
