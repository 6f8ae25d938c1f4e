package dispatcher

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// queueLength bounds the calls and cancels that wait for the stream's writer.
	queueLength = 8192
	// batchLength bounds the calls and cancels in one message.
	batchLength = 256
)

// stream is the long-lived stream of calls to one owner.
type stream struct {
	host string
	out  chan outgoing
	done chan struct{}
	conn *grpc.ClientConn

	mu      sync.Mutex
	pending map[string]pendingCall
	closed  bool
}

// pendingCall is a call whose result is awaited.
type pendingCall struct {
	call *peerv1.Call
	box  *Mailbox
}

// matches reports whether a result with the call's attempt also has its shard, snapshot and leaf.
func (w pendingCall) matches(r *peerv1.CallResult) bool {
	return r.GetShard() == w.call.GetShard() && r.GetSnapshot() == w.call.GetSnapshot() && r.GetLeaf() == w.call.GetLeaf()
}

// outgoing is either a call to send or an attempt to cancel.
type outgoing struct {
	call   *peerv1.Call
	cancel string
}

func newStream(host string, conn *grpc.ClientConn) *stream {
	return &stream{
		host: host, conn: conn, out: make(chan outgoing, queueLength), done: make(chan struct{}),
		pending: make(map[string]pendingCall),
	}
}

// run opens the gRPC stream and receives results until it ends.
func (s *stream) run(ctx context.Context, mismatch func(*peerv1.CallResult)) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer s.close()
	channel, err := peerv1.NewPeerServiceClient(s.conn).Channel(ctx)
	if err != nil {
		return
	}
	go func() {
		defer stop()
		s.write(ctx, channel)
	}()
	for {
		message, err := channel.Recv()
		if err != nil {
			return
		}
		for _, r := range message.GetResults() {
			if !s.deliver(r) {
				mismatch(r)
			}
		}
	}
}

// write sends the queued calls and cancels in as few messages as possible.
func (s *stream) write(ctx context.Context, channel grpc.BidiStreamingClient[peerv1.ChannelRequest, peerv1.ChannelResponse]) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.out:
			if err := channel.Send(s.batch(first)); err != nil {
				return
			}
		}
	}
}

func (s *stream) batch(first outgoing) *peerv1.ChannelRequest {
	message := &peerv1.ChannelRequest{}
	next := first
	for {
		if next.call != nil {
			message.Calls = append(message.Calls, next.call)
		} else {
			message.Cancels = append(message.Cancels, next.cancel)
		}
		if len(message.GetCalls())+len(message.GetCancels()) >= batchLength {
			return message
		}
		select {
		case next = <-s.out:
		default:
			return message
		}
	}
}

// send registers and queues a call. It returns false if the stream is closed or its queue is full; the call is then not
// sent.
func (s *stream) send(call *peerv1.Call, box *Mailbox) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	select {
	case s.out <- outgoing{call: call}:
		s.pending[call.GetAttempt()] = pendingCall{call: call, box: box}
		return true
	default:
		return false
	}
}

// cancel removes a pending attempt and queues a cancel for the owner. If the queue is full the cancel is dropped, because
// cancelling only saves work.
func (s *stream) cancel(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pending[attempt]; !ok || s.closed {
		return
	}
	delete(s.pending, attempt)
	select {
	case s.out <- outgoing{cancel: attempt}:
	default:
	}
}

// deliver passes a result to its pending call and returns false if there is none. A result that has the attempt of a
// call but another shard, snapshot or leaf is mismatched: the call stays pending until its own result arrives.
func (s *stream) deliver(r *peerv1.CallResult) bool {
	s.mu.Lock()
	w, ok := s.pending[r.GetAttempt()]
	if !ok || !w.matches(r) {
		s.mu.Unlock()
		return false
	}
	delete(s.pending, r.GetAttempt())
	s.mu.Unlock()
	return w.box.Deliver(r)
}

// close fails every pending call with a lost connection. The calls do not count as unsent, because the owner may have
// run them.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	for _, w := range s.pending {
		w.box.Deliver(&peerv1.CallResult{
			Attempt: w.call.GetAttempt(), Snapshot: w.call.GetSnapshot(), Shard: w.call.GetShard(), Leaf: w.call.GetLeaf(),
			Reason: callerv1.Reason_REASON_CONNECTION_LOST,
		})
	}
	s.pending = nil
}
