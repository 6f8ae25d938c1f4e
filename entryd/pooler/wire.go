package pooler

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrGuarded is returned by writes after the lease on the leaf has ended.
var ErrGuarded = errors.New("the lease on the leaf has ended")

// wire is a TCP connection that counts what is written and notes how it ended.
type wire struct {
	net.Conn

	guard   func() bool
	written atomic.Int64
	heard   chan struct{}
	once    sync.Once
	// remote is set when the server closed or reset the connection.
	remote atomic.Bool
}

// Read notes the first byte, which ends the opening of the connection, and an end that the server caused.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.once.Do(func() { close(w.heard) })
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.remote.Store(true)
	}
	return n, err
}

// Write refuses every byte after the lease has ended, so that a process that was paused in the middle of a call
// does not send it under the next owner's lease.
func (w *wire) Write(b []byte) (int, error) {
	if !w.guard() {
		return 0, ErrGuarded
	}
	n, err := w.Conn.Write(b)
	w.written.Add(int64(n))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.remote.Store(true)
	}
	return n, err
}
