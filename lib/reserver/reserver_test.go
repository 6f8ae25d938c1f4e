package reserver_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/reserver"
)

// Guards against two processes of one test with the same address, which do not start then.
func TestNoAddressIsReturnedTwice(t *testing.T) {
	var r reserver.Reserver
	seen := make(map[string]bool)
	for range 20 {
		addresses, err := r.Addresses(50)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, addresses, qt.HasLen, 50)
		for _, a := range addresses {
			qt.Assert(t, seen[a], qt.IsFalse)
			seen[a] = true
			l, err := net.Listen("tcp", a)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, l.Close(), qt.IsNil)
		}
	}
}

// Guards against an endless search, and against fewer addresses than were asked for.
func TestMoreAddressesThanPorts(t *testing.T) {
	var r reserver.Reserver
	_, err := r.Addresses(1 << 16)
	qt.Assert(t, err, qt.ErrorIs, reserver.ErrNoneFree)
}
