package carrier

import "sync/atomic"

// Gate ensures that a call is either sent or cancelled, but never both. The zero Gate is open. It is safe for
// concurrent use.
type Gate struct {
	state atomic.Int32
	// permit is shared by mutually exclusive calls, of which at most one may be sent; nil for an independent call.
	permit *SendPermit
}

// SendPermit is the permission to send one of several mutually exclusive calls.
type SendPermit struct {
	claimed atomic.Bool
}

// Join makes the gate share a permit with the gates of other calls. It must be called before the call starts.
func (g *Gate) Join(p *SendPermit) {
	g.permit = p
}

// States of a gate.
const (
	gateOpen = iota
	gateSent
	gateClosed
)

// Pass reports whether the call may be sent. If it may, the call counts as sent from then on.
func (g *Gate) Pass() bool {
	if !g.state.CompareAndSwap(gateOpen, gateSent) {
		return false
	}
	if g.permit != nil && !g.permit.claimed.CompareAndSwap(false, true) {
		g.state.Store(gateClosed)
		return false
	}
	return true
}

// Close cancels the call if it has not been sent. It reports whether nothing of the call was or will be sent.
func (g *Gate) Close() bool {
	return g.state.CompareAndSwap(gateOpen, gateClosed) || g.state.Load() == gateClosed
}

// IsOpen reports whether the call has been neither sent nor cancelled.
func (g *Gate) IsOpen() bool {
	return g.state.Load() == gateOpen
}
