package exchanger

import (
	"net"
	"syscall"
)

// quiet reports whether an unused connection is open and shows no byte. A leaf that sends something without being
// asked, or has closed the connection, must not be sent a request on it.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
