package exchanger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/peeker"
)

// connection is a connection to a leaf.
type connection struct {
	pool    *pool
	conn    net.Conn
	meter   *meter
	reader  *bufio.Reader
	expires time.Time
	// evicted is true once the connection no longer counts for its pool. The exchanger's lock guards it.
	evicted bool
}

// pool is the set of connections to one address.
type pool struct {
	address netip.AddrPort
	open    int
	idle    []*connection
	// lingering are the connections of superseded calls that may still be answered, oldest first.
	lingering []*connection
	lastUsed  time.Time
}

// connect returns an idle connection that is still usable, or opens one within the host's share.
func (e *Exchanger) connect(ctx context.Context, c *carrier.Call) (*connection, error) {
	if !c.NewConnection {
		if l := e.reuse(c); l != nil {
			return l, nil
		}
	}
	p, err := e.reserve(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := e.dial(ctx, c.Address)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		p.open--
		e.stats.Failed++
		return nil, errors.Join(ctx.Err(), ErrUnreachable, err)
	}
	e.stats.Opened++
	m := &meter{conn: conn, quota: e.quota}
	return &connection{pool: p, conn: conn, meter: m, reader: bufio.NewReaderSize(m, bufferSize)}, nil
}

// reuse returns the most recently used idle connection. It closes connections that have expired, hold unread bytes or
// were closed by the leaf.
func (e *Exchanger) reuse(c *carrier.Call) *connection {
	now := e.clock()
	for {
		l := e.popIdle(c.Address, now)
		if l == nil {
			return nil
		}
		if now.Before(l.expires) && peeker.NoPendingData(l.conn) {
			return l
		}
		e.mu.Lock()
		e.stats.Stale++
		e.mu.Unlock()
		e.discard(l)
	}
}

func (e *Exchanger) popIdle(address netip.AddrPort, now time.Time) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[address]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	p.lastUsed = now
	l := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	e.stats.Reused++
	return l
}

// reserve counts a connection that is about to be opened. If the share would be exceeded, it closes an idle connection or one
// of a superseded call first.
func (e *Exchanger) reserve(c *carrier.Call) (*pool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[c.Address]
	if p == nil {
		p = &pool{address: c.Address}
		e.pools[c.Address] = p
	}
	p.lastUsed = e.clock()
	if p.open >= max(c.MaxConnections, 1) {
		if !p.evict() {
			return nil, ErrBusy
		}
	}
	p.open++
	return p, nil
}

// evict closes an idle connection or one of a superseded call. It reports false if there is none. The exchanger's lock must be
// held.
func (p *pool) evict() bool {
	var oldest *connection
	switch {
	case len(p.idle) > 0:
		oldest, p.idle = p.idle[0], p.idle[1:]
	case len(p.lingering) > 0:
		oldest, p.lingering = p.lingering[0], p.lingering[1:]
	default:
		return false
	}
	oldest.evicted = true
	p.open--
	_ = oldest.conn.Close()
	return true
}

// release returns a connection to the pool for the next call.
func (e *Exchanger) release(l *connection, c *carrier.Call, a *carrier.Answer) {
	idleTimeout := c.IdleTimeout
	if a.Idle > 0 {
		idleTimeout = min(idleTimeout, a.Idle-idleMargin)
	}
	if idleTimeout <= 0 {
		e.discard(l)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.evicted {
		return
	}
	l.expires = e.clock().Add(idleTimeout)
	l.pool.idle = append(l.pool.idle, l)
}

func (e *Exchanger) discard(l *connection) {
	_ = l.conn.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !l.evicted {
		l.evicted = true
		l.pool.open--
	}
}

// Sweep closes idle connections that have expired and removes pools that are no longer used. It must be called
// periodically.
func (e *Exchanger) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.pools {
		kept := p.idle[:0]
		for _, l := range p.idle {
			if now.Before(l.expires) {
				kept = append(kept, l)
				continue
			}
			p.open--
			_ = l.conn.Close()
		}
		p.idle = kept
		if p.open == 0 && now.Sub(p.lastUsed) >= poolRetention {
			delete(e.pools, address)
		}
	}
}
