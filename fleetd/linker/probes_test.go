package linker

import (
	"context"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A data centre loses power and recovers. Guards against stale connections to its hosts that stay open: the first portion
// that each host of another data centre sends on one of them is lost, for half a minute with 300 hosts.
func TestConnectionsOfLostHostsAreProbed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	conn, err := dialContext(context.Background(), listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	option := func(level, name int) int {
		value := 0
		qt.Assert(t, raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }), qt.IsNil)
		qt.Assert(t, err, qt.IsNil)
		return value
	}
	qt.Assert(t, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), qt.Equals, 1)
	// A recovered host is listed a second or more after its machine answers probes again.
	idle := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
	interval := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
	count := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	qt.Assert(t, idle <= 1 && interval <= 1, qt.IsTrue, qt.Commentf("%d s, then each %d s", idle, interval))
	qt.Assert(t, idle+interval*count <= 3, qt.IsTrue, qt.Commentf("%d probes", count))
}
