package executor

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"lycheelift.example/entryd/pooler"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/ramper"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// grace is how long a leaf's answer is awaited after the deadline that was stated to it. The slot stays taken
	// meanwhile: the leaf's clock runs from receipt, so it may still be running the call.
	grace = 500 * time.Millisecond
	// cancelLinger is how long a slot stays taken after a cancel was sent, because the leaf does not confirm it.
	cancelLinger = 10 * time.Millisecond
	// crashWait is the time after which a second look decides whether a server whose connection was lost is gone.
	crashWait = 20 * time.Millisecond
)

// outcome is the end of one call on its leaf.
type outcome struct {
	body   []byte
	reason callerv1.Reason
	// unsent means that no byte of the call can have reached the leaf.
	unsent bool
	spent  time.Duration
	// verdict is what the outcome tells about the leaf's capacity.
	verdict ramper.Outcome
	// stuck means that the leaf did not end the call, so its connection is closed.
	stuck bool
	// cancelled means that the call was given up before the leaf ended it.
	cancelled bool
}

// exchange makes the call and hands the outcome to the one who waits, then frees the slot.
func (l *leaf) exchange(t *ticket, pool *pooler.Pool, conn *pooler.Conn, lease leaser.Lease) {
	l.mu.Lock()
	incarnation := l.info.Incarnation
	l.mu.Unlock()
	e := l.executor
	start := e.clock()
	out := l.send(t, conn, lease, start)
	out.spent = e.clock().Sub(start)
	if ended, remote := conn.Ended(); ended && out.reason != callerv1.Reason_REASON_UNSPECIFIED && !out.cancelled {
		out = l.lost(t.call, pool, incarnation, remote, out)
	}
	t.done <- out
	if out.cancelled {
		time.Sleep(cancelLinger)
	}
	l.end(t, pool, conn, out)
}

// send writes the call to the connection and reads the answer.
func (l *leaf) send(t *ticket, conn *pooler.Conn, lease leaser.Lease, now time.Time) outcome {
	left := term(t.slot.Deadline, lease).Sub(now)
	if left <= 0 || !l.guard() {
		return outcome{reason: callerv1.Reason_REASON_DEADLINE, unsent: true, verdict: ramper.Unknown}
	}
	ctx, cancel := context.WithTimeout(pooler.WithTimeout(context.Background(), left), left+grace)
	defer cancel()
	t.bind(cancel)
	l.executor.calls.Add(1)
	l.executor.count.calls.Inc(1)
	before := conn.Written()
	call := t.call
	response, err := conn.Leaf.Execute(ctx, &backendv1.ExecuteRequest{
		Attempt: call.GetAttempt(), Service: call.GetService(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(),
		Body: call.GetBody(), Key: call.GetKey(), Tenant: call.GetTenant(), Epoch: lease.Epoch,
	})
	if err != nil {
		return l.failed(ctx, err, conn.Written() == before)
	}
	if !echoes(response, call) {
		eventer.LeafMismatched.Log(l.executor.clock(), "leaf", l.name, "attempt", call.GetAttempt(), "got", response.GetAttempt())
		l.executor.count.mismatched.Inc(1)
		return outcome{reason: callerv1.Reason_REASON_SERVER_ERROR, verdict: ramper.Failed}
	}
	return outcome{body: response.GetBody(), verdict: ramper.Good}
}

func echoes(r *backendv1.ExecuteResponse, c *peerv1.Call) bool {
	return r.GetAttempt() == c.GetAttempt() && r.GetSnapshot() == c.GetSnapshot() && r.GetShard() == c.GetShard()
}

// failed turns an error of a call into its outcome.
func (l *leaf) failed(ctx context.Context, err error, unsent bool) outcome {
	out := outcome{reason: callerv1.Reason_REASON_SERVER_ERROR, verdict: ramper.Failed, unsent: unsent}
	if errors.Is(err, pooler.ErrGuarded) {
		return outcome{reason: callerv1.Reason_REASON_NOT_OWNER, verdict: ramper.Unknown, unsent: unsent}
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		return out
	}
	if f, ok := fault(c); ok {
		out.reason = faultReasons[f.GetKind()]
		out.verdict = faultVerdicts[f.GetKind()]
		return out
	}
	switch {
	case ctx.Err() == context.Canceled:
		return outcome{reason: callerv1.Reason_REASON_CANCELLED, verdict: ramper.Unknown, unsent: unsent, cancelled: true}
	case ctx.Err() != nil:
		return outcome{reason: callerv1.Reason_REASON_DEADLINE, verdict: ramper.Failed, unsent: unsent, stuck: true}
	case c.Code() == connect.CodeDeadlineExceeded, c.Code() == connect.CodeCanceled:
		out.reason = callerv1.Reason_REASON_DEADLINE
		out.verdict = ramper.Unknown
	default:
	}
	return out
}

// lost decides what the end of a connection with a call in flight means. The server has crashed when its process is
// gone or has been replaced; a connection that went silent says nothing about the server.
func (l *leaf) lost(call *peerv1.Call, pool *pooler.Pool, incarnation uint64, remote bool, out outcome) outcome {
	e := l.executor
	out.reason = callerv1.Reason_REASON_CONNECTION_LOST
	out.verdict = ramper.Unknown
	if !remote {
		if l.guard() {
			e.count.silent.Inc(1)
			eventer.LeafSilent.Log(e.clock(), "leaf", l.name, "attempt", call.GetAttempt())
		}
		return out
	}
	e.count.lost.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	for _, wait := range []time.Duration{0, crashWait} {
		time.Sleep(wait)
		if pool.Refused(ctx) || l.newer(incarnation) {
			e.count.crashed.Inc(1)
			eventer.LeafCrashed.Log(e.clock(), "leaf", l.name, "attempt", call.GetAttempt(), "fingerprint", call.GetFingerprint())
			out.reason = callerv1.Reason_REASON_CRASHED
			out.unsent = false
			return out
		}
	}
	return out
}

var faultReasons = map[backendv1.FaultKind]callerv1.Reason{
	backendv1.FaultKind_FAULT_KIND_UNSPECIFIED:   callerv1.Reason_REASON_SERVER_ERROR,
	backendv1.FaultKind_FAULT_KIND_SHED:          callerv1.Reason_REASON_OVERLOADED,
	backendv1.FaultKind_FAULT_KIND_SNAPSHOT_GONE: callerv1.Reason_REASON_SNAPSHOT_GONE,
	backendv1.FaultKind_FAULT_KIND_DRAINING:      callerv1.Reason_REASON_DRAINING,
}

// faultVerdicts says what a fault tells about the capacity; kinds that are not listed tell of a failure.
var faultVerdicts = map[backendv1.FaultKind]ramper.Outcome{
	backendv1.FaultKind_FAULT_KIND_UNSPECIFIED:   ramper.Failed,
	backendv1.FaultKind_FAULT_KIND_SHED:          ramper.Shed,
	backendv1.FaultKind_FAULT_KIND_SNAPSHOT_GONE: ramper.Unknown,
	backendv1.FaultKind_FAULT_KIND_DRAINING:      ramper.Unknown,
}

func fault(c *connect.Error) (*backendv1.Fault, bool) {
	for _, detail := range c.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if f, ok := value.(*backendv1.Fault); ok {
			return f, true
		}
	}
	return nil, false
}
