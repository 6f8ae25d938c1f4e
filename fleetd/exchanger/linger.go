package exchanger

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lycheelift.example/lib/carrier"
)

// interruptWhenDone ends the exchange on a connection once ctx has ended: at once, or after the call's linger time if another
// call has answered in its place. The returned function stops watching and reports whether the connection is as before.
func (e *Exchanger) interruptWhenDone(ctx context.Context, l *connection, c *carrier.Call) (stop func() bool) {
	interrupted := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		until := time.Unix(1, 0)
		if c.Linger > 0 && errors.Is(context.Cause(ctx), ErrSuperseded) {
			e.beginLinger(l)
			until = time.Now().Add(c.Linger)
		}
		_ = l.conn.SetDeadline(until)
	})
	return sync.OnceValue(func() bool {
		if cancel() {
			return true
		}
		<-interrupted
		return e.endLinger(l) && l.conn.SetDeadline(time.Time{}) == nil
	})
}

// beginLinger marks a connection as one that may be closed if a new one is needed.
func (e *Exchanger) beginLinger(l *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.pool.lingering = append(l.pool.lingering, l)
}

// endLinger reports whether the connection was lingering and has not been closed for a new one.
func (e *Exchanger) endLinger(l *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(l.pool.lingering, l)
	if i < 0 {
		return false
	}
	l.pool.lingering = slices.Delete(l.pool.lingering, i, i+1)
	return true
}
