// Package exchanger makes calls to leaves over connections of its own: one request at a time on a connection, at most
// a share of the connections that a leaf accepts, and none used again after anything unexpected on it.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"lycheelift.example/lib/carrier"
)

// Protocol writes calls and reads answers.
type Protocol interface {
	Write(w *bufio.Writer, c *carrier.Call, now time.Time) error
	// Read reads one answer. It calls permit with the greatest length of the body once the head is in.
	Read(r *bufio.Reader, c *carrier.Call, permit func(body int64)) (*carrier.Answer, error)
}

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// bufferSize is the size in bytes of a connection's read buffer and of its write buffer.
	bufferSize = 2 << 10
	// inlineBody is the size of a request body that is written before the answer is awaited. A longer one is written
	// beside it, because a leaf may answer before it has read the body.
	inlineBody = 1 << 10
	// idleMargin is taken off the time for which a leaf says that it keeps an unused connection.
	idleMargin = 500 * time.Millisecond
	// keepPools is the time after which the pool of an unused address is forgotten.
	keepPools = time.Minute
)

// Errors of a call.
var (
	// ErrBusy means that this host's share of the leaf's connections is in use; nothing was sent.
	ErrBusy = errors.New("all connections to the leaf are in use")
	// ErrUnreachable means that no connection could be opened; nothing was sent.
	ErrUnreachable = errors.New("the leaf cannot be reached")
	// ErrGivenUp means that the call was given up before anything was sent.
	ErrGivenUp = errors.New("the call was given up")
	// ErrLost means that the connection failed after the request was sent, at least in part.
	ErrLost = errors.New("the connection to the leaf was lost")
	// ErrSpoiled means that the leaf sent bytes that are no answer to the request.
	ErrSpoiled = errors.New("the leaf's answer cannot be used")
)

// Exchanger keeps the connections to all leaves. It is safe for concurrent use.
type Exchanger struct {
	protocol Protocol
	clock    func() time.Time
	dial     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// writers holds write buffers, which are needed for a moment only.
	writers sync.Pool
	// quota bounds the bytes of all answers.
	quota *quota

	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
	stats Stats
}

// Stats counts connections.
type Stats struct {
	Opened, Failed, Reused, Stale uint64
}

// Option changes an exchanger.
type Option func(*Exchanger)

// WithDial sets how connections are opened.
func WithDial(dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) Option {
	return func(e *Exchanger) { e.dial = dial }
}

// WithQuota bounds the bytes of all large answers that arrive at one time.
func WithQuota(bytes int64) Option {
	return func(e *Exchanger) { e.quota = &quota{most: bytes} }
}

// New returns an exchanger without connections.
func New(protocol Protocol, clock func() time.Time, options ...Option) *Exchanger {
	dialer := &net.Dialer{}
	e := &Exchanger{
		protocol: protocol, clock: clock, pools: make(map[netip.AddrPort]*pool),
		quota:   &quota{most: DefaultQuota},
		writers: sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }},
		dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address.String())
		},
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// Stats returns the counts so far.
func (e *Exchanger) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Do makes a call. It returns when the leaf has answered, the call's deadline has passed or ctx ends.
func (e *Exchanger) Do(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	link, err := e.connect(ctx, c)
	if err != nil {
		return nil, err
	}
	if !c.Gate.Pass() {
		e.release(link, c, &carrier.Answer{}) // Nothing was sent on it.
		return nil, ErrGivenUp
	}
	answer, err := e.exchange(ctx, link, c)
	if err != nil {
		e.discard(link)
		return nil, err
	}
	if answer.Close || link.reader.Buffered() > 0 {
		e.discard(link)
		return answer, nil
	}
	e.release(link, c, answer)
	return answer, nil
}

// exchange sends the request and reads the answer.
func (e *Exchanger) exchange(ctx context.Context, l *link, c *carrier.Call) (*carrier.Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	l.meter.begin()
	defer l.meter.end()
	written, err := e.write(l, c)
	if err != nil {
		return nil, failure(ctx, ErrLost, err)
	}
	if _, err := l.reader.Peek(1); err != nil {
		return nil, failure(ctx, ErrLost, err)
	}
	answer, err := e.protocol.Read(l.reader, c, l.meter.permit)
	if err != nil {
		return nil, failure(ctx, spoiled(err), err)
	}
	select {
	case err := <-written:
		if err != nil {
			answer.Close = true
		}
	default:
		// The leaf answered before it had the whole body: what is still to be sent must not be taken for a request.
		answer.Close = true
	}
	if !stop() {
		// The deadline of the connection has been changed.
		answer.Close = true
	}
	return answer, nil
}

// write sends the request. The channel gives the result; a long body is written while the answer is awaited.
func (e *Exchanger) write(l *link, c *carrier.Call) (<-chan error, error) {
	done := make(chan error, 1)
	send := func() error {
		w := e.writers.Get().(*bufio.Writer) //nolint:forcetypeassert // The pool holds nothing else.
		w.Reset(l.conn)
		defer func() {
			w.Reset(nil) // Forgets the connection and what could not be written.
			e.writers.Put(w)
		}()
		if err := e.protocol.Write(w, c, e.clock()); err != nil {
			return err
		}
		return w.Flush()
	}
	if len(c.Request.Body) > inlineBody {
		go func() { done <- send() }()
		return done, nil
	}
	err := send()
	done <- err
	return done, err
}

// failure prefers the end of the context to the error that it causes.
func failure(ctx context.Context, kind, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), kind)
	}
	return errors.Join(kind, err)
}

// spoiled tells a broken connection from bytes that are no answer.
func spoiled(err error) error {
	var network net.Error
	if errors.As(err, &network) {
		return ErrLost
	}
	return ErrSpoiled
}
