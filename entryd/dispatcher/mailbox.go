package dispatcher

import (
	"sync"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Mailbox collects the results of one query's calls, so that the query needs only one goroutine whatever its fan-out.
// It is safe for concurrent use.
type Mailbox struct {
	ready chan struct{}

	mu      sync.Mutex
	results []*peerv1.CallResult
	spare   []*peerv1.CallResult
	closed  bool
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{ready: make(chan struct{}, 1)}
}

// Deliver adds a result. It returns false if the query has ended.
func (m *Mailbox) Deliver(r *peerv1.CallResult) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.results = append(m.results, r)
	select {
	case m.ready <- struct{}{}:
	default:
	}
	return true
}

// Ready returns a channel that receives a value when results are available.
func (m *Mailbox) Ready() <-chan struct{} {
	return m.ready
}

// Take returns the results delivered since the last call. The slice is valid until the next call.
func (m *Mailbox) Take() []*peerv1.CallResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.results
	m.results = m.spare[:0]
	m.spare = out
	return out
}

// Close discards all results and makes Deliver refuse later ones.
func (m *Mailbox) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.results, m.spare = nil, nil
}
