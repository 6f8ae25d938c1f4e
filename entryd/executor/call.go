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
	// deadlineGrace is how long a leaf's answer is awaited after the deadline that was sent to it. The slot stays occupied
	// meanwhile: the leaf counts the timeout from receipt, so it may still be running the call.
	deadlineGrace = 500 * time.Millisecond
	// cancelLinger is how long a slot stays occupied after a cancel was sent, because the leaf does not confirm it.
	cancelLinger = 10 * time.Millisecond
	// crashRecheckDelay is the delay before the second check whether a server whose connection was lost has crashed.
	crashRecheckDelay = 20 * time.Millisecond
)

// outcome is the result of one call to its leaf.
type outcome struct {
	body   []byte
	reason callerv1.Reason
	// unsent is true if no byte of the call can have reached the leaf.
	unsent   bool
	duration time.Duration
	// rampOutcome is what the outcome indicates about the leaf's capacity.
	rampOutcome ramper.Outcome
	// stuck is true if the leaf did not end the call in time, so that its connection is closed.
	stuck bool
	// cancelled is true if the call was cancelled before the leaf ended it.
	cancelled bool
}

// exchange makes the call, passes the outcome to the waiting caller, and then frees the slot.
func (l *leaf) exchange(p *pendingCall, pool *pooler.Pool, conn *pooler.Conn, lease leaser.Lease) {
	l.mu.Lock()
	incarnation := l.info.Incarnation
	l.mu.Unlock()
	e := l.executor
	start := e.clock()
	out := l.send(p, conn, lease, start)
	out.duration = e.clock().Sub(start)
	if ended, remote := conn.Ended(); ended && out.reason != callerv1.Reason_REASON_UNSPECIFIED && !out.cancelled {
		out = l.classifyLoss(p.call, pool, incarnation, remote, out)
	}
	p.done <- out
	if out.cancelled {
		time.Sleep(cancelLinger)
	}
	l.end(p, pool, conn, out)
}

// send writes the call to the connection and reads the answer.
func (l *leaf) send(p *pendingCall, conn *pooler.Conn, lease leaser.Lease, now time.Time) outcome {
	remaining := callDeadline(p.slot.Deadline, lease).Sub(now)
	if remaining <= 0 || !l.leaseValid() {
		return outcome{reason: callerv1.Reason_REASON_DEADLINE, unsent: true, rampOutcome: ramper.Unknown}
	}
	ctx, cancel := context.WithTimeout(pooler.WithTimeout(context.Background(), remaining), remaining+deadlineGrace)
	defer cancel()
	p.setCancel(cancel)
	l.executor.calls.Add(1)
	l.executor.counters.calls.Inc(1)
	before := conn.Written()
	call := p.call
	response, err := conn.Leaf.Execute(ctx, &backendv1.ExecuteRequest{
		Attempt: call.GetAttempt(), Service: call.GetService(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(),
		Body: call.GetBody(), Key: call.GetKey(), Tenant: call.GetTenant(), Epoch: lease.Epoch,
	})
	if err != nil {
		return l.classifyError(ctx, err, conn.Written() == before)
	}
	if !matchesCall(response, call) {
		eventer.LeafMismatched.Log(l.executor.clock(), "leaf", l.name, "attempt", call.GetAttempt(), "got", response.GetAttempt())
		l.executor.counters.mismatched.Inc(1)
		return outcome{reason: callerv1.Reason_REASON_SERVER_ERROR, rampOutcome: ramper.Failed}
	}
	return outcome{body: response.GetBody(), rampOutcome: ramper.Good}
}

func matchesCall(r *backendv1.ExecuteResponse, c *peerv1.Call) bool {
	return r.GetAttempt() == c.GetAttempt() && r.GetSnapshot() == c.GetSnapshot() && r.GetShard() == c.GetShard()
}

// classifyError converts the error of a call to its outcome.
func (l *leaf) classifyError(ctx context.Context, err error, unsent bool) outcome {
	out := outcome{reason: callerv1.Reason_REASON_SERVER_ERROR, rampOutcome: ramper.Failed, unsent: unsent}
	if errors.Is(err, pooler.ErrLeaseEnded) {
		return outcome{reason: callerv1.Reason_REASON_NOT_OWNER, rampOutcome: ramper.Unknown, unsent: unsent}
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		return out
	}
	if f, ok := faultDetail(c); ok {
		out.reason = faultReasons[f.GetKind()]
		out.rampOutcome = faultRampOutcomes[f.GetKind()]
		return out
	}
	switch {
	case ctx.Err() == context.Canceled:
		return outcome{reason: callerv1.Reason_REASON_CANCELLED, rampOutcome: ramper.Unknown, unsent: unsent, cancelled: true}
	case ctx.Err() != nil:
		return outcome{reason: callerv1.Reason_REASON_DEADLINE, rampOutcome: ramper.Failed, unsent: unsent, stuck: true}
	case c.Code() == connect.CodeDeadlineExceeded, c.Code() == connect.CodeCanceled:
		out.reason = callerv1.Reason_REASON_DEADLINE
		out.rampOutcome = ramper.Unknown
	default:
	}
	return out
}

// classifyLoss decides the outcome of a call whose connection ended while it was in flight. The server has crashed if it
// refuses connections or has announced a later incarnation. A connection that this host closed because it became silent
// is no evidence of a crash.
func (l *leaf) classifyLoss(call *peerv1.Call, pool *pooler.Pool, incarnation uint64, remote bool, out outcome) outcome {
	e := l.executor
	out.reason = callerv1.Reason_REASON_CONNECTION_LOST
	out.rampOutcome = ramper.Unknown
	if !remote {
		if l.leaseValid() {
			e.counters.silent.Inc(1)
			eventer.LeafConnectionTimedOut.Log(e.clock(), "leaf", l.name, "attempt", call.GetAttempt())
		}
		return out
	}
	e.counters.lost.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), deadlineGrace)
	defer cancel()
	for _, wait := range []time.Duration{0, crashRecheckDelay} {
		time.Sleep(wait)
		if pool.Refused(ctx) || l.restarted(incarnation) {
			e.counters.crashed.Inc(1)
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

// faultRampOutcomes maps a fault to what it indicates about the leaf's capacity. Kinds that are not listed count as a failure.
var faultRampOutcomes = map[backendv1.FaultKind]ramper.Outcome{
	backendv1.FaultKind_FAULT_KIND_UNSPECIFIED:   ramper.Failed,
	backendv1.FaultKind_FAULT_KIND_SHED:          ramper.Shed,
	backendv1.FaultKind_FAULT_KIND_SNAPSHOT_GONE: ramper.Unknown,
	backendv1.FaultKind_FAULT_KIND_DRAINING:      ramper.Unknown,
}

func faultDetail(c *connect.Error) (*backendv1.Fault, bool) {
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
