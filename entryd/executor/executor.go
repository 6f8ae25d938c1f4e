// Package executor makes leaf calls on the host that owns the leaf.
package executor

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/transporter"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Bounds of silence on a leaf connection, after which the connection is closed.
const (
	silenceIdle   = 500 * time.Millisecond
	silenceAnswer = 500 * time.Millisecond
)

// Finder looks up a leaf that may receive work.
type Finder interface {
	Find(service, leaf string, now time.Time) (*cataloguer.Leaf, bool)
}

// Executor calls leaves. It is safe for concurrent use.
type Executor struct {
	leaves Finder
	client *http.Client
	clock  func() time.Time

	mu      sync.Mutex
	targets map[netip.AddrPort]*target
}

// target is one leaf address with its client and slots.
type target struct {
	client backendv1connect.LeafServiceClient
	slots  chan struct{}
}

// New returns an executor that reads the time from clock.
func New(leaves Finder, clock func() time.Time) *Executor {
	return &Executor{
		leaves: leaves, clock: clock, targets: make(map[netip.AddrPort]*target),
		client: transporter.Client(transporter.Silence{Idle: silenceIdle, Answer: silenceAnswer}),
	}
}

// Execute makes one call and returns its result.
func (e *Executor) Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult {
	result := &peerv1.CallResult{
		Attempt: call.GetAttempt(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(), Leaf: call.GetLeaf(),
	}
	leaf, ok := e.leaves.Find(call.GetService(), call.GetLeaf(), e.clock())
	if !ok {
		return unsent(result, callerv1.Reason_REASON_NO_REPLICA)
	}
	t := e.target(leaf)
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		return unsent(result, callerv1.Reason_REASON_OVERLOADED)
	}
	start := e.clock()
	response, err := t.client.Execute(ctx, &backendv1.ExecuteRequest{
		Attempt: call.GetAttempt(), Service: call.GetService(), Snapshot: call.GetSnapshot(), Shard: call.GetShard(),
		Body: call.GetBody(), Key: call.GetKey(), Tenant: call.GetTenant(),
	})
	result.Spent = durationpb.New(e.clock().Sub(start))
	if err != nil {
		return failed(result, err)
	}
	if response.GetAttempt() != call.GetAttempt() || response.GetSnapshot() != call.GetSnapshot() || response.GetShard() != call.GetShard() {
		result.Reason = callerv1.Reason_REASON_SERVER_ERROR
		return result
	}
	result.Body = response.GetBody()
	return result
}

func (e *Executor) target(leaf *cataloguer.Leaf) *target {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.targets[leaf.Address]
	if !ok {
		t = &target{
			client: backendv1connect.NewLeafServiceClient(e.client, "http://"+leaf.Address.String()),
			slots:  make(chan struct{}, leaf.Slots),
		}
		e.targets[leaf.Address] = t
	}
	return t
}

func unsent(r *peerv1.CallResult, reason callerv1.Reason) *peerv1.CallResult {
	r.Reason = reason
	r.Unsent = true
	return r
}

// failed turns a leaf's error into a reason. A fault that the leaf states means that the call was not run.
func failed(r *peerv1.CallResult, err error) *peerv1.CallResult {
	r.Reason = callerv1.Reason_REASON_SERVER_ERROR
	var c *connect.Error
	if !errors.As(err, &c) {
		return r
	}
	switch c.Code() {
	case connect.CodeDeadlineExceeded, connect.CodeCanceled:
		r.Reason = callerv1.Reason_REASON_DEADLINE
	case connect.CodeUnavailable:
		r.Reason = callerv1.Reason_REASON_CONNECTION_LOST
	default:
	}
	if f, ok := fault(c); ok {
		r.Reason = faultReasons[f.GetKind()]
	}
	return r
}

var faultReasons = map[backendv1.FaultKind]callerv1.Reason{
	backendv1.FaultKind_FAULT_KIND_UNSPECIFIED:   callerv1.Reason_REASON_SERVER_ERROR,
	backendv1.FaultKind_FAULT_KIND_SHED:          callerv1.Reason_REASON_OVERLOADED,
	backendv1.FaultKind_FAULT_KIND_SNAPSHOT_GONE: callerv1.Reason_REASON_SNAPSHOT_GONE,
	backendv1.FaultKind_FAULT_KIND_DRAINING:      callerv1.Reason_REASON_DRAINING,
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
