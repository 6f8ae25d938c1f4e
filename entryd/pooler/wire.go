package pooler

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrLeaseEnded is returned by writes when this host no longer holds the lease on the leaf.
var ErrLeaseEnded = errors.New("the lease on the leaf has ended")

// trackedConn is a TCP connection that refuses writes without a lease, counts the bytes written and records how it ended.
type trackedConn struct {
	net.Conn

	leaseValid func() bool
	written    atomic.Int64
	firstByte  chan struct{}
	once       sync.Once
	// closedByPeer is true if the server closed or reset the connection.
	closedByPeer atomic.Bool
}

// Read signals the first byte, which completes the opening of the connection, and records an end caused by the server.
func (w *trackedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.once.Do(func() { close(w.firstByte) })
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.closedByPeer.Store(true)
	}
	return n, err
}

// Write fails after the lease has ended, so that a process that was paused in the middle of a call does not send the rest
// of it during the next owner's lease.
func (w *trackedConn) Write(b []byte) (int, error) {
	if !w.leaseValid() {
		return 0, ErrLeaseEnded
	}
	n, err := w.Conn.Write(b)
	w.written.Add(int64(n))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.closedByPeer.Store(true)
	}
	return n, err
}
