// Package leaser decides leases on leaves: a granter votes, and a holder owns a leaf while a majority of its cell's
// granters has granted it the lease.
package leaser

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheelift.example/lib/ranker"
)

const (
	// Term is the time for which a granter grants a lease, counted from the receipt of the request.
	Term = 2 * time.Second
	// Margin is how much earlier than the term the holder stops. Two clocks that drift apart by 1% each lose 40 ms
	// of a term; the rest covers a call that is already being written when the lease ends.
	Margin = 200 * time.Millisecond
	// Renew is the time between two renewals.
	Renew = 600 * time.Millisecond
)

// Claim is a lease wanted or granted.
type Claim struct {
	Leaf  string
	Epoch uint64
}

// Denial names the holder of a lease that was not granted; Holder is empty when the granter itself may not grant.
type Denial struct {
	Leaf   string
	Holder string
}

// Request asks one granter for leases, renews them, or gives them up.
type Request struct {
	Host        string
	Incarnation uint64
	// Sequence grows with each request of one incarnation.
	Sequence uint64
	// Group identifies the cell's granters as the sender knows them.
	Group    uint64
	Claims   []Claim
	Releases []string
	// Leaving says that the sender is stopping and wants no leaf any more.
	Leaving bool
}

// Response is a granter's answer.
type Response struct {
	Granted []Claim
	Denied  []Denial
	// Disagrees says that the granter knows other granters for the cell.
	Disagrees bool
}

// Group returns the identity of a cell's granters.
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
