package connector

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All hosts lose power and come back. Guards against a host that waits a whole timeout for a connection whose first packet
// was sent before the other host was up again.
func TestUnansweredAttemptDoesNotDelayTheNext(t *testing.T) {
	var attempts atomic.Int32
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return near, nil
	}
	conn, err := New(dial, time.Millisecond, time.Minute).Dial(context.Background(), "host")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn, qt.Equals, near)
}

// Guards against waiting for a host that is up and does not listen yet: the caller tries another host.
func TestRefusalEndsTheAttempts(t *testing.T) {
	refused := errors.New("refused")
	dial := func(context.Context, string) (net.Conn, error) { return nil, refused }
	_, err := New(dial, time.Minute, time.Minute).Dial(context.Background(), "host")
	qt.Assert(t, errors.Is(err, refused), qt.IsTrue)
}

// Guards against a file descriptor that is lost with each attempt that is answered too late.
func TestLateConnectionIsClosed(t *testing.T) {
	near, far := net.Pipe()
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return near, nil
	}
	_, err := New(dial, time.Minute, time.Millisecond).Dial(context.Background(), "host")
	qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	_, err = far.Read(make([]byte, 1)) // Returns once the other end is closed.
	qt.Assert(t, err, qt.IsNotNil)
}
