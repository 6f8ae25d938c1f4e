// Package pooler keeps the connections to one leaf: opened ahead, never more than the leaf accepts, replaced when
// they go silent or break.
package pooler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
)

const (
	// Spare is the number of connections opened ahead above the slots, so that a broken one is replaced off the
	// query's path.
	Spare = 2
	// silenceIdle and silenceAnswer bound the silence of a connection: a ping after the first, closed after the second.
	silenceIdle   = 500 * time.Millisecond
	silenceAnswer = 500 * time.Millisecond
	// openTimeout bounds the opening of a connection, up to the server's first byte.
	openTimeout = time.Second
	// retryLeast and retryMost bound the wait after an opening failed.
	retryLeast = 20 * time.Millisecond
	retryMost  = time.Second
	// linger is how long a connection that this host closed still counts against the leaf's limit, because the
	// server may not have noticed yet. A server that does not answer pings notices later.
	linger       = 100 * time.Millisecond
	lingerSilent = 5 * time.Second
	// maxAnswer and maxHeader bound what a server sends for one call, in bytes: the same as a message between hosts may
	// have, which carries the answer on.
	maxAnswer = 4 << 20
	maxHeader = 64 << 10
)

// Pool is the set of connections to one leaf. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	guard   func() bool
	ready   func()
	clock   func() time.Time

	mu      sync.Mutex
	slots   int
	limit   int
	idle    []*Conn
	open    map[*Conn]struct{}
	opening int
	closing []time.Time
	failed  int
	retry   *time.Timer
	closed  bool
	stats   Stats
}

// Stats counts what happened to a pool's connections.
type Stats struct {
	Opened, Failed, Silent, Lost uint64
	// Emptied counts how often the server ended the last open connection, as the end of its process does.
	Emptied uint64
}

// New returns a pool and starts to open its connections. Guard is asked before each write; ready is called when a
// connection has become available, without locks held.
func New(address netip.AddrPort, slots, limit int, guard func() bool, ready func(), clock func() time.Time) *Pool {
	p := &Pool{
		address: address, guard: guard, ready: ready, clock: clock,
		slots: slots, limit: limit, open: make(map[*Conn]struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
	return p
}

// Resize changes the leaf's slots and its limit of connections.
func (p *Pool) Resize(slots, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots, p.limit = slots, limit
	p.fill()
}

// target is the number of connections to keep. Half of the leaf's limit is left for the former owner: one that is
// paused cannot close its connections when its lease ends.
func (p *Pool) target() int {
	return min(p.slots+Spare, max(p.limit/2, 1))
}

// fill opens connections up to the target; those that are being opened or closed count.
func (p *Pool) fill() {
	// Without the lease no connection may be opened: the next owner opens its own.
	if p.closed || p.retry != nil || !p.guard() {
		return
	}
	now := p.clock()
	for len(p.closing) > 0 && !now.Before(p.closing[0]) {
		p.closing = p.closing[1:]
	}
	for len(p.open)+p.opening < p.target() {
		if len(p.open)+p.opening+len(p.closing) >= p.limit {
			if len(p.closing) > 0 {
				p.later(p.closing[0].Sub(now))
			}
			return
		}
		p.opening++
		go p.connect()
	}
}

func (p *Pool) later(wait time.Duration) {
	p.retry = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.retry = nil
		p.fill()
	})
}

func (p *Pool) connect() {
	c, err := p.dial()
	p.mu.Lock()
	p.opening--
	if err != nil {
		p.stats.Failed++
		p.failed++
		if p.retry == nil && !p.closed {
			p.later(min(retryLeast<<min(p.failed, 8), retryMost))
		}
		p.mu.Unlock()
		return
	}
	if p.closed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.failed = 0
	p.stats.Opened++
	p.open[c] = struct{}{}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	// The hook is set late, so a connection that broke meanwhile is looked at once by hand.
	c.client.SetStateHook(func(*http.ClientConn) { go p.inspect(c) })
	p.inspect(c)
	p.ready()
}

// dial opens a connection and waits for the server's first byte: a server whose connections are costly has then paid.
func (p *Pool) dial() (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	c := &Conn{pool: p}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
		HTTP2: &http.HTTP2Config{SendPingTimeout: silenceIdle, PingTimeout: silenceAnswer},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.wire = &wire{Conn: conn, guard: p.guard, heard: make(chan struct{})}
			return c.wire, nil
		},
	}
	client, err := transport.NewClientConn(ctx, "http", p.address.String())
	if err != nil {
		return nil, oops.In("pooler").Wrapf(err, "open connection")
	}
	c.client = client
	c.Leaf = backendv1connect.NewLeafServiceClient(c, "http://"+p.address.String())
	select {
	case <-c.wire.heard:
		return c, nil
	case <-ctx.Done():
		_ = client.Close()
		return nil, oops.In("pooler").Wrapf(ctx.Err(), "server is silent on a new connection")
	}
}

// inspect drops a connection that has ended and opens another in its place.
func (p *Pool) inspect(c *Conn) {
	if c.client.Err() == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

func (p *Pool) drop(c *Conn) {
	if _, ok := p.open[c]; !ok {
		return
	}
	delete(p.open, c)
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if c.wire.remote.Load() {
		p.stats.Lost++
		if len(p.open) == 0 {
			p.stats.Emptied++
		}
	} else {
		p.stats.Silent++
		p.linger(lingerSilent)
	}
	c.close()
	p.fill()
}

// linger keeps the list sorted by time.
func (p *Pool) linger(d time.Duration) {
	until := p.clock().Add(d)
	i := len(p.closing)
	for i > 0 && p.closing[i-1].After(until) {
		i--
	}
	p.closing = append(p.closing[:i], append([]time.Time{until}, p.closing[i:]...)...)
}

// Get takes an idle connection.
func (p *Pool) Get() (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if c.client.Err() != nil {
			p.drop(c)
			continue
		}
		p.idle = p.idle[:len(p.idle)-1]
		return c, true
	}
	return nil, false
}

// Put gives a connection back. It is closed when the caller states that its peer did not end a call in time.
func (p *Pool) Put(c *Conn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.open[c]
	switch {
	case !ok:
	case c.client.Err() != nil:
		p.drop(c)
	case broken || p.closed || len(p.open) > p.target():
		delete(p.open, c)
		p.linger(linger)
		c.close()
		p.fill()
	default:
		p.idle = append(p.idle, c)
	}
}

// Idle returns the number of connections that can be taken.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) + p.opening
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Close closes the idle connections at once and the others when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.retry != nil {
		p.retry.Stop()
		p.retry = nil
	}
	for _, c := range p.idle {
		delete(p.open, c)
		c.close()
	}
	p.idle = nil
}

// Refused reports whether the server refuses a new connection, which means that its process is gone. Within the
// leaf's limit no room may be left for the attempt; the answer is then false.
func (p *Pool) Refused(ctx context.Context) bool {
	p.mu.Lock()
	if !p.guard() || len(p.open)+p.opening+len(p.closing) >= p.limit {
		p.mu.Unlock()
		return false
	}
	p.opening++
	p.mu.Unlock()
	conn, err := (&net.Dialer{Timeout: openTimeout}).DialContext(ctx, "tcp", p.address.String())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	p.linger(linger)
	return false
}

// Conn is one connection.
type Conn struct {
	// Leaf calls the server over this connection.
	Leaf backendv1connect.LeafServiceClient

	pool   *Pool
	client *http.ClientConn
	wire   *wire
}

// deadlineKey marks the context value that holds the time left to the server.
type deadlineKey struct{}

// WithTimeout returns a context that states a timeout to the server without ending the call on this side.
func WithTimeout(ctx context.Context, left time.Duration) context.Context {
	return context.WithValue(ctx, deadlineKey{}, left)
}

// Do sends a request on this connection; it implements connect's HTTP client.
func (c *Conn) Do(r *http.Request) (*http.Response, error) {
	if left, ok := r.Context().Value(deadlineKey{}).(time.Duration); ok {
		r.Header.Set("Connect-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	if !c.pool.guard() {
		return nil, ErrGuarded
	}
	response, err := c.client.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	// Connect's own bound would read on to the end of the body so that the connection can be used again.
	response.Body = http.MaxBytesReader(nil, response.Body, maxAnswer)
	return response, nil
}

// Written returns the number of bytes written so far. A call during which it did not change reached no server.
func (c *Conn) Written() int64 { return c.wire.written.Load() }

// Ended reports whether the connection has ended, and whether the server ended it.
func (c *Conn) Ended() (ended, remote bool) {
	return c.client.Err() != nil, c.wire.remote.Load()
}

func (c *Conn) close() { _ = c.client.Close() }
