// Package dispatcher sends leaf calls to the hosts that own the leaves and delivers the results.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Executor runs calls to leaves that this host owns.
type Executor interface {
	Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult
}

// Dialer opens a connection to a host by name.
type Dialer interface {
	Dial(host string) (*grpc.ClientConn, error)
}

// Dispatcher routes calls to the owners of their leaves. It is safe for concurrent use.
type Dispatcher struct {
	self  string
	local Executor
	dial  Dialer
	ctx   context.Context //nolint:containedctx // The lifetime of the streams is that of the dispatcher.
	stop  context.CancelFunc

	mu      sync.Mutex
	streams map[string]*stream
	cancels sync.Map // Maps the attempt of a local call to its context.CancelFunc.

	mismatched atomic.Uint64
	mismatch   func(*peerv1.CallResult)
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithMismatch sets the function that is called with each result that matches no pending call.
func WithMismatch(f func(*peerv1.CallResult)) Option {
	return func(d *Dispatcher) { d.mismatch = f }
}

// New returns a dispatcher for the host named self.
func New(self string, local Executor, dial Dialer, options ...Option) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		self: self, local: local, dial: dial, ctx: ctx, stop: stop,
		streams: make(map[string]*stream), mismatch: func(*peerv1.CallResult) {},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Send sends a call to its owner. Exactly one result is delivered to the mailbox, unless the call is cancelled.
func (d *Dispatcher) Send(owner string, call *peerv1.Call, box *Mailbox) {
	if owner == d.self {
		d.sendLocal(call, box)
		return
	}
	s, err := d.stream(owner)
	if err != nil || !s.send(call, box) {
		box.Deliver(&peerv1.CallResult{
			Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(),
			Reason: callerv1.Reason_REASON_CONNECTION_LOST, Unsent: true,
		})
	}
}

func (d *Dispatcher) sendLocal(call *peerv1.Call, box *Mailbox) {
	ctx, cancel := context.WithTimeout(d.ctx, call.GetTimeout().AsDuration())
	d.cancels.Store(call.GetAttempt(), cancel)
	go func() {
		defer cancel()
		result := d.local.Execute(ctx, call)
		if _, ok := d.cancels.LoadAndDelete(call.GetAttempt()); ok {
			box.Deliver(result)
		}
	}()
}

// Cancel cancels an attempt. Its result may already be in the mailbox.
func (d *Dispatcher) Cancel(owner, attempt string) {
	if owner == d.self {
		if cancel, ok := d.cancels.LoadAndDelete(attempt); ok {
			cancel.(context.CancelFunc)()
		}
		return
	}
	d.mu.Lock()
	s := d.streams[owner]
	d.mu.Unlock()
	if s != nil {
		s.cancel(attempt)
	}
}

// Mismatched returns the number of results that matched no pending call.
func (d *Dispatcher) Mismatched() uint64 {
	return d.mismatched.Load()
}

// Close closes every stream and cancels the local calls.
func (d *Dispatcher) Close() {
	d.stop()
}

func (d *Dispatcher) stream(host string) (*stream, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.streams[host]; ok {
		select {
		case <-s.done:
		default:
			return s, nil
		}
	}
	conn, err := d.dial.Dial(host)
	if err != nil {
		return nil, err
	}
	s := newStream(host, conn)
	d.streams[host] = s
	go s.run(d.ctx, func(r *peerv1.CallResult) {
		d.mismatched.Add(1)
		d.mismatch(r)
	})
	return s, nil
}
