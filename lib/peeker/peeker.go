// Package peeker checks idle connections for pending data without reading from them.
package peeker

import (
	"net"
	"syscall"
)

// NoPendingData reports whether an idle connection is open and has no pending data. A client must not send a request on a
// connection on which the server has sent unsolicited data or which the server has closed. A server must not close a
// connection that holds a request which has not been read yet.
func NoPendingData(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noPendingData := false
	// RawConn.Read is not used because it would wait for another goroutine that reads from the connection.
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noPendingData = errno == syscall.EAGAIN || errno == syscall.EWOULDBLOCK
	})
	return err == nil && noPendingData
}
