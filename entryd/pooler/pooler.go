// Package pooler keeps the pool of connections to one leaf. Connections are opened in advance, never exceed the number that
// the leaf accepts, and are replaced when they become silent or break.
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
	// SpareConnections is the number of connections opened in advance beyond the slots, so that a query does not have to
	// wait for the replacement of a broken one.
	SpareConnections = 2
	// A connection without traffic for pingIdle is pinged, and closed if the ping is not answered within pingTimeout.
	pingIdle    = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// openTimeout bounds the opening of a connection, up to the server's first byte.
	openTimeout = time.Second
	// minRetryDelay and maxRetryDelay determine the backoff after a failure to open a connection.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// closeDelay is how long a connection that this host closed still counts towards the leaf's limit, because the server
	// may not have seen the close yet. A server that does not answer pings sees it later: silentCloseDelay.
	closeDelay       = 100 * time.Millisecond
	silentCloseDelay = 5 * time.Second
	// maxResponse and maxHeader bound the body and the headers of a server's response to one call, in bytes. maxResponse is
	// the limit of a message between hosts, which carries the answer further.
	maxResponse = 4 << 20
	maxHeader   = 64 << 10
)

// Pool is the set of connections to one leaf. It is safe for concurrent use.
type Pool struct {
	address    netip.AddrPort
	leaseValid func() bool
	ready      func()
	clock      func() time.Time

	mu       sync.Mutex
	slots    int
	limit    int
	idle     []*Conn
	open     map[*Conn]struct{}
	opening  int
	closing  []time.Time
	failures int
	retry    *time.Timer
	closed   bool
	stats    Stats
}

// Stats holds counters of a pool's connections.
type Stats struct {
	Opened, Failed, Silent, Lost uint64
	// Emptied counts how often the server closed the last open connection, as happens when its process ends.
	Emptied uint64
}

// New returns a pool and starts to open its connections. leaseValid is called before each write, and the write fails if it
// returns false. ready is called, without locks held, when a connection has become available.
func New(address netip.AddrPort, slots, limit int, leaseValid func() bool, ready func(), clock func() time.Time) *Pool {
	p := &Pool{
		address: address, leaseValid: leaseValid, ready: ready, clock: clock,
		slots: slots, limit: limit, open: make(map[*Conn]struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
	return p
}

// Resize changes the number of slots and the limit of connections.
func (p *Pool) Resize(slots, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots, p.limit = slots, limit
	p.fill()
}

// target is the number of connections to keep. Half of the leaf's limit is reserved for the previous owner, because a
// paused host cannot close its connections when its lease ends.
func (p *Pool) target() int {
	return min(p.slots+SpareConnections, max(p.limit/2, 1))
}

// fill opens connections up to the target. Connections that are being opened count towards the target; the leaf's limit
// also includes those that are being closed.
func (p *Pool) fill() {
	// Without the lease no connection may be opened, because the next owner opens its own.
	if p.closed || p.retry != nil || !p.leaseValid() {
		return
	}
	now := p.clock()
	for len(p.closing) > 0 && !now.Before(p.closing[0]) {
		p.closing = p.closing[1:]
	}
	for len(p.open)+p.opening < p.target() {
		if len(p.open)+p.opening+len(p.closing) >= p.limit {
			if len(p.closing) > 0 {
				p.scheduleFill(p.closing[0].Sub(now))
			}
			return
		}
		p.opening++
		go p.connect()
	}
}

func (p *Pool) scheduleFill(wait time.Duration) {
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
		p.failures++
		if p.retry == nil && !p.closed {
			p.scheduleFill(min(minRetryDelay<<min(p.failures, 8), maxRetryDelay))
		}
		p.mu.Unlock()
		return
	}
	if p.closed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.failures = 0
	p.stats.Opened++
	p.open[c] = struct{}{}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	// The connection may have ended before the hook was set, so it is inspected once explicitly.
	c.client.SetStateHook(func(*http.ClientConn) { go p.inspect(c) })
	p.inspect(c)
	p.ready()
}

// dial opens a connection and waits for the server's first byte, so that the server has completed a possibly
// costly connection setup before a query uses the connection.
func (p *Pool) dial() (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	c := &Conn{pool: p}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.tcp = &trackedConn{Conn: conn, leaseValid: p.leaseValid, firstByte: make(chan struct{})}
			return c.tcp, nil
		},
	}
	client, err := transport.NewClientConn(ctx, "http", p.address.String())
	if err != nil {
		return nil, oops.In("pooler").Wrapf(err, "open connection")
	}
	c.client = client
	c.Leaf = backendv1connect.NewLeafServiceClient(c, "http://"+p.address.String())
	select {
	case <-c.tcp.firstByte:
		return c, nil
	case <-ctx.Done():
		_ = client.Close()
		return nil, oops.In("pooler").Wrapf(ctx.Err(), "server sent no data on a new connection")
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
	if c.tcp.closedByPeer.Load() {
		p.stats.Lost++
		if len(p.open) == 0 {
			p.stats.Emptied++
		}
	} else {
		p.stats.Silent++
		p.addClosing(silentCloseDelay)
	}
	c.close()
	p.fill()
}

// addClosing counts a closed connection towards the limit for the duration d. It keeps the list sorted by time.
func (p *Pool) addClosing(d time.Duration) {
	until := p.clock().Add(d)
	i := len(p.closing)
	for i > 0 && p.closing[i-1].After(until) {
		i--
	}
	p.closing = append(p.closing[:i], append([]time.Time{until}, p.closing[i:]...)...)
}

// Get removes an idle connection from the pool and returns it.
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

// Put returns a connection to the pool. broken means that the server did not end a call in time; the connection is then
// closed.
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
		p.addClosing(closeDelay)
		c.close()
		p.fill()
	default:
		p.idle = append(p.idle, c)
	}
}

// Idle returns the number of idle connections.
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

// Close closes the idle connections immediately and the others when they are returned.
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

// Refused reports whether the server refuses a new connection, which means that its process no longer runs. It returns
// false without trying if the lease has ended or the leaf's connection limit leaves no room for the attempt.
func (p *Pool) Refused(ctx context.Context) bool {
	p.mu.Lock()
	if !p.leaseValid() || len(p.open)+p.opening+len(p.closing) >= p.limit {
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
	p.addClosing(closeDelay)
	return false
}

// Conn is a connection to the leaf.
type Conn struct {
	// Leaf calls the server over this connection.
	Leaf backendv1connect.LeafServiceClient

	pool   *Pool
	client *http.ClientConn
	tcp    *trackedConn
}

// deadlineKey is the context key of the timeout that is sent to the server.
type deadlineKey struct{}

// WithTimeout returns a context whose timeout is sent to the server but does not end the call on this host.
func WithTimeout(ctx context.Context, remaining time.Duration) context.Context {
	return context.WithValue(ctx, deadlineKey{}, remaining)
}

// Do sends a request on this connection. It implements connect.HTTPClient.
func (c *Conn) Do(r *http.Request) (*http.Response, error) {
	if remaining, ok := r.Context().Value(deadlineKey{}).(time.Duration); ok {
		r.Header.Set("Connect-Timeout-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	if !c.pool.leaseValid() {
		return nil, ErrLeaseEnded
	}
	response, err := c.client.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	// Connect's own limit is not used, because it would read to the end of the body to make the connection reusable.
	response.Body = http.MaxBytesReader(nil, response.Body, maxResponse)
	return response, nil
}

// Written returns the number of bytes written so far. If it did not change during a call, the call did not reach the
// server.
func (c *Conn) Written() int64 { return c.tcp.written.Load() }

// Ended reports whether the connection has ended, and whether the server closed it.
func (c *Conn) Ended() (ended, closedByPeer bool) {
	return c.client.Err() != nil, c.tcp.closedByPeer.Load()
}

func (c *Conn) close() { _ = c.client.Close() }
