// Package peeker checks connections for pending data and for their end without reading from them.
package peeker

import (
	"net"
	"syscall"
)

// state is what a look at a connection shows.
type state int

const (
	// unknown means that the connection cannot be looked at.
	unknown state = iota
	// quiet means that the connection is open and has no pending data.
	quiet
	// readable means that data waits to be read.
	readable
	// ended means that the other side has closed or reset the connection.
	ended
)

// NoPendingData reports whether an idle connection is open and has no pending data. A client must not send a request on a
// connection on which the server has sent unsolicited data or which the server has closed. A server must not close a
// connection that holds a request which has not been read yet.
func NoPendingData(conn net.Conn) bool {
	if _, ok := conn.(syscall.Conn); !ok {
		return true
	}
	return look(conn) == quiet
}

// HasEnded reports whether the other side has closed or reset a connection.
func HasEnded(conn net.Conn) bool {
	return look(conn) == ended
}

func look(conn net.Conn) state {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return ended
	}
	out := unknown
	// RawConn.Read is not used because it would wait for another goroutine that reads from the connection.
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		out = classify(n, errno)
	})
	if err != nil {
		return ended // This side has closed it.
	}
	return out
}

// classify interprets the result of a read that does not wait.
func classify(n int, err error) state {
	switch {
	case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK: //nolint:errorlint // System calls return plain numbers.
		return quiet
	case err != nil || n == 0:
		return ended
	}
	return readable
}
