// Package leaser implements leases on leaves. A granter votes on leases; a holder owns a leaf as long as a majority of
// the granters of its cell has granted it the lease.
package leaser

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheelift.example/lib/ranker"
)

const (
	// Term is the duration of a granted lease, counted by the granter from the receipt of the request.
	Term = 2 * time.Second
	// Margin is the time before the end of the term at which the holder stops using the lease. Two clocks that run
	// 1% fast and slow differ by 40 ms after a term; the rest covers a call that is being written when the lease ends.
	Margin = 200 * time.Millisecond
	// Renew is the renewal interval.
	Renew = 600 * time.Millisecond
)

// Claim is a lease that is requested or granted.
type Claim struct {
	Leaf  string
	Epoch uint64
}

// Denial reports a lease that was not granted. Holder is the current holder, or empty when the granter knows none.
type Denial struct {
	Leaf   string
	Holder string
}

// Request claims, renews or releases leases at one granter.
type Request struct {
	Host        string
	Incarnation uint64
	// Sequence increases with each request of an incarnation.
	Sequence uint64
	// Group identifies the cell's granters that the sender has configured.
	Group    uint64
	Claims   []Claim
	Releases []string
	// Leaving is set when the sender is stopping and claims no more leaves.
	Leaving bool
}

// Response is a granter's response to a request.
type Response struct {
	Granted []Claim
	Denied  []Denial
	// GroupMismatch is set when the granter has not configured the request's group, so it may know other granters for the
	// cell.
	GroupMismatch bool
}

// Group returns a hash that identifies a cell and its granters.
func Group(cell ranker.Cell) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(cell.Name)
	for _, g := range cell.Granters {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(g)
	}
	return d.Sum64()
}
