// Package exchanger sends calls to leaves over pooled connections. A connection carries one request at a time, a host
// uses at most its share of the connections that a leaf accepts, and a connection on which anything unexpected
// happened is not reused.
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

// Protocol encodes calls and decodes answers.
type Protocol interface {
	Write(w *bufio.Writer, c *carrier.Call, now time.Time) error
	// Read reads one answer. It calls permit with the maximum body length once the head has been read.
	Read(r *bufio.Reader, c *carrier.Call, permit func(body int64)) (*carrier.Answer, error)
}

const (
	// connectTimeout limits the time to open a connection.
	connectTimeout = time.Second
	// bufferSize is the size in bytes of a connection's read buffer and of its write buffer.
	bufferSize = 2 << 10
	// inlineBody is the maximum size in bytes of a request body that is written before the answer is read. A longer body
	// is written concurrently, because a leaf may answer before it has read the body.
	inlineBody = 1 << 10
	// idleMargin is subtracted from the time for which a leaf announces that it keeps an idle connection.
	idleMargin = 500 * time.Millisecond
	// poolRetention is how long the pool of an unused address is kept.
	poolRetention = time.Minute
)

// Errors of a call.
var (
	// ErrBusy means that this host's share of the leaf's connections is in use; nothing was sent.
	ErrBusy = errors.New("all connections to the leaf are in use")
	// ErrUnreachable means that no connection could be opened; nothing was sent.
	ErrUnreachable = errors.New("the leaf cannot be reached")
	// ErrAbandoned means that the call was abandoned before anything was sent.
	ErrAbandoned = errors.New("the call was abandoned before it was sent")
	// ErrConnectionLost means that the connection failed after at least part of the request was sent.
	ErrConnectionLost = errors.New("the connection to the leaf was lost")
	// ErrTruncated means that the connection ended before the answer was complete. The leaf may have ended with it.
	ErrTruncated = errors.New("the connection to the leaf ended in the middle of its answer")
	// ErrSuperseded is the cause with which the context of a call ends when another call has answered in its place.
	ErrSuperseded = errors.New("another call has answered")
	// ErrInvalidAnswer means that the leaf sent bytes that are not a valid answer to the request.
	ErrInvalidAnswer = errors.New("the leaf sent an invalid answer")
)

// Exchanger manages the connections to all leaves. It is safe for concurrent use.
type Exchanger struct {
	protocol Protocol
	clock    func() time.Time
	dial     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// writers holds write buffers, which are in use only while a request is written.
	writers sync.Pool
	// quota limits the total size of all answers being received.
	quota *quota

	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
	stats Stats
}

// Stats counts connection events.
type Stats struct {
	Opened, Failed, Reused, Stale uint64
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) Option {
	return func(e *Exchanger) { e.dial = dial }
}

// WithQuota limits the total number of bytes of large answers that are being received at one time.
func WithQuota(bytes int64) Option {
	return func(e *Exchanger) { e.quota = &quota{limit: bytes} }
}

// New returns an exchanger without connections.
func New(protocol Protocol, clock func() time.Time, options ...Option) *Exchanger {
	dialer := &net.Dialer{}
	e := &Exchanger{
		protocol: protocol, clock: clock, pools: make(map[netip.AddrPort]*pool),
		quota:   &quota{limit: DefaultQuota},
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

// Stats returns the current counts.
func (e *Exchanger) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Do sends a call. It returns when the leaf has answered, the call's deadline has passed or ctx ends.
func (e *Exchanger) Do(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	l, err := e.connect(ctx, c)
	if err != nil {
		return nil, err
	}
	if c.Withdrawn != nil && c.Withdrawn() || !c.Gate.Pass() {
		e.release(l, c, &carrier.Answer{}) // Nothing was sent, so the connection can be reused.
		return nil, ErrAbandoned
	}
	answer, err := e.exchange(ctx, l, c)
	if err != nil {
		e.discard(l)
		return nil, err
	}
	if answer.Close || answer.ID != c.Request.ID || l.reader.Buffered() > 0 {
		e.discard(l)
		return answer, nil
	}
	e.release(l, c, answer)
	return answer, nil
}

// exchange sends the request and reads the answer.
func (e *Exchanger) exchange(ctx context.Context, l *connection, c *carrier.Call) (*carrier.Answer, error) {
	stop := e.interruptWhenDone(ctx, l, c)
	defer stop()
	l.meter.begin()
	defer l.meter.end()
	written, err := e.write(l, c)
	if err != nil {
		return nil, failure(ctx, ErrConnectionLost, err)
	}
	if _, err := l.reader.Peek(1); err != nil {
		return nil, failure(ctx, ErrConnectionLost, err)
	}
	answer, err := e.protocol.Read(l.reader, c, l.meter.permit)
	if err != nil {
		return nil, failure(ctx, l.readFailure(err), err)
	}
	select {
	case err := <-written:
		if err != nil {
			answer.Close = true
		}
	default:
		// The leaf answered before it had received the whole body: the rest of the body must not be read as the next
		// request.
		answer.Close = true
	}
	if !stop() {
		answer.Close = true // The context ended, and the connection may have been interrupted.
	}
	return answer, nil
}

// write sends the request. The channel delivers the result; a long body is written while the answer is being read.
func (e *Exchanger) write(l *connection, c *carrier.Call) (<-chan error, error) {
	done := make(chan error, 1)
	send := func() error {
		w := e.writers.Get().(*bufio.Writer) //nolint:forcetypeassert // The pool holds nothing else.
		w.Reset(l.conn)
		defer func() {
			w.Reset(nil) // Drops the connection and any unwritten bytes.
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

// failure adds the kind to the cause of an error. If the context has ended, its error replaces the cause.
func failure(ctx context.Context, kind, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), kind)
	}
	return errors.Join(kind, err)
}

// readFailure distinguishes a failed connection, and one that ended in the middle of the answer, from bytes that are not a
// valid answer.
func (l *connection) readFailure(err error) error {
	var network net.Error
	switch {
	case errors.As(err, &network):
		return ErrConnectionLost
	case l.meter.ended:
		return ErrTruncated
	}
	return ErrInvalidAnswer
}
