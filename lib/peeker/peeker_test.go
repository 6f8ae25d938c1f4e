package peeker_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/peeker"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
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

// Guards against a look that waits for a goroutine that reads from the connection, as a server does on a connection
// without a request: a stopping host would be killed at the end of its grace time.
func TestLookDoesNotWaitForAReader(t *testing.T) {
	near, far := pair(t)
	reading, read := make(chan struct{}), make(chan error, 1)
	go func() {
		close(reading)
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	<-reading
	for range 1000 {
		qt.Assert(t, peeker.Quiet(near), qt.IsTrue)
	}
	_, err := far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-read, qt.IsNil)
}

// Guards against a connection that is closed although a byte waits, and against the use of one that was closed.
func TestBytesAndEndsAreSeen(t *testing.T) {
	near, far := pair(t)
	_, err := far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	for peeker.Quiet(near) {
	}
	_, err = near.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, peeker.Quiet(near), qt.IsTrue)
	qt.Assert(t, far.Close(), qt.IsNil)
	for peeker.Quiet(near) {
	}
}
