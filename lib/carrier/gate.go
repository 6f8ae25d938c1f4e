package carrier

import "sync/atomic"

// Gate decides between sending a call and giving it up: exactly one of the two happens. The zero Gate is open.
type Gate struct {
	state atomic.Int32
}

// States of a gate.
const (
	gateOpen = iota
	gateSent
	gateClosed
)

// Pass reports whether the call may be sent; it is then as good as sent.
func (g *Gate) Pass() bool {
	return g.state.CompareAndSwap(gateOpen, gateSent)
}

// Close gives the call up and reports whether nothing of it was sent or will be.
func (g *Gate) Close() bool {
	return g.state.CompareAndSwap(gateOpen, gateClosed) || g.state.Load() == gateClosed
}
