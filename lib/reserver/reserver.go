// Package reserver finds loopback addresses for processes that are about to be started.
package reserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Ports are chosen below the ephemeral port range, so that no outgoing connection can occupy a port before the process listens
// on it.
const (
	firstPort = 10000
	lastPort  = 30000
)

// ErrNoneFree means that fewer ports are free than were asked for.
var ErrNoneFree = errors.New("not enough free ports on the loopback interface")

// Reserver finds free loopback addresses and returns none twice. The zero value is ready for use. It is safe for concurrent use.
type Reserver struct {
	mu       sync.Mutex
	returned map[int]bool
}

// shared is the reserver of this process.
var shared Reserver

// Addresses returns loopback addresses that are free and that it has not returned to this process before.
func Addresses(n int) ([]string, error) {
	return shared.Addresses(n)
}

// Addresses returns loopback addresses that are free and that it has not returned before.
func (r *Reserver) Addresses(n int) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.returned == nil {
		r.returned = make(map[int]bool)
	}
	out := make([]string, 0, n)
	for _, i := range rand.Perm(lastPort - firstPort) { //nolint:gosec // Any free port will do.
		if len(out) == n {
			return out, nil
		}
		port := firstPort + i
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String() //nolint:gosec // At most lastPort.
		if r.returned[port] || !free(address) {
			continue
		}
		r.returned[port] = true
		out = append(out, address)
	}
	return nil, ErrNoneFree
}

// free reports whether a process can listen on an address.
func free(address string) bool {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
