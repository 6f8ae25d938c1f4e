// Package peeker looks at unused connections without reading from them.
package peeker

import (
	"net"
	"syscall"
)

// Quiet reports whether an unused connection is open and shows no byte. A connection on which the other side has sent
// something without being asked, or which it has closed, must not be used for a request; one that holds a request which
// was not read yet must not be closed.
func Quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	// RawConn.Read would wait for a goroutine that reads from the connection.
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK
	})
	return err == nil && silent
}
