package server

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// callExecutor executes leaf calls.
type callExecutor interface {
	Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult
}

// callMeter counts the leaf calls of this host, so that a graceful stop can wait for them.
type callMeter struct {
	next      callExecutor
	clock     func() time.Time
	calls     atomic.Uint64
	active    atomic.Int64
	lastStart atomic.Int64
}

// Execute counts a call and passes it on.
func (m *callMeter) Execute(ctx context.Context, call *peerv1.Call) *peerv1.CallResult {
	m.calls.Add(1)
	m.active.Add(1)
	defer m.active.Add(-1)
	m.lastStart.Store(m.clock().UnixNano())
	return m.next.Execute(ctx, call)
}

// idle reports whether no call is in progress and none has arrived for the duration d.
func (m *callMeter) idle(d time.Duration) bool {
	return m.active.Load() == 0 && m.clock().Sub(time.Unix(0, m.lastStart.Load())) >= d
}
