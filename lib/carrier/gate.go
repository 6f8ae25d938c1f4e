package carrier

import "sync/atomic"

// Gate decides between sending a call and giving it up: exactly one of the two happens. The zero Gate is open.
type Gate struct {
	state atomic.Int32
	// turn is shared by calls of which one at most may be sent; nil for a call by itself.
	turn *Turn
}

// Turn lets one of several calls be sent.
type Turn struct {
	taken atomic.Bool
}

// Join makes the gate one of those that share a turn. It must be called before the call is made.
func (g *Gate) Join(t *Turn) {
	g.turn = t
}

// States of a gate.
const (
	gateOpen = iota
	gateSent
	gateClosed
)

// Pass reports whether the call may be sent; it is then as good as sent.
func (g *Gate) Pass() bool {
	if !g.state.CompareAndSwap(gateOpen, gateSent) {
		return false
	}
	if g.turn != nil && !g.turn.taken.CompareAndSwap(false, true) {
		g.state.Store(gateClosed)
		return false
	}
	return true
}

// Close gives the call up and reports whether nothing of it was sent or will be.
func (g *Gate) Close() bool {
	return g.state.CompareAndSwap(gateOpen, gateClosed) || g.state.Load() == gateClosed
}

// IsOpen reports whether the call has been neither sent nor given up.
func (g *Gate) IsOpen() bool {
	return g.state.Load() == gateOpen
}
