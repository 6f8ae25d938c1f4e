package server

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// runner runs leaf calls.
type runner interface {
	Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult
}

// meter counts the leaf calls of this host, so that a graceful stop can wait for them.
type meter struct {
	next   runner
	clock  func() time.Time
	calls  atomic.Uint64
	active atomic.Int64
	last   atomic.Int64
}

// Execute runs a call.
func (m *meter) Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult {
	m.calls.Add(1)
	m.active.Add(1)
	defer m.active.Add(-1)
	m.last.Store(m.clock().UnixNano())
	return m.next.Execute(ctx, call)
}

// quiet reports whether no call runs and none came for a time.
func (m *meter) quiet(d time.Duration) bool {
	return m.active.Load() == 0 && m.clock().Sub(time.Unix(0, m.last.Load())) >= d
}
