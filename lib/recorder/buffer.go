// Package recorder keeps the record of answers: entry hosts number and buffer them, control hosts store them,
// and the numbers show what the record lacks.
package recorder

import (
	"sync"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// DefaultLimit bounds the answers that wait on an entry host. At 200 bytes an answer it is about 13 MB.
const DefaultLimit = 1 << 16

// Buffer numbers the answers of one host and holds them until they are stored. It is safe for concurrent use.
type Buffer struct {
	host        string
	incarnation uint64
	limit       int

	mu      sync.Mutex
	next    uint64
	waiting []*statev1.Answer
	taken   int
	dropped uint64
	closed  bool
}

// NewBuffer returns an empty buffer that keeps at most limit answers.
func NewBuffer(host string, incarnation uint64, limit int) *Buffer {
	return &Buffer{host: host, incarnation: incarnation, limit: limit, next: 1}
}

// Add numbers an answer and keeps it. When the buffer is full the answer is dropped; the hole in the numbers shows it.
func (b *Buffer) Add(a *statev1.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Host, a.Incarnation, a.Number = b.host, b.incarnation, b.next
	b.next++
	if len(b.waiting) >= b.limit {
		b.dropped++
		return
	}
	b.waiting = append(b.waiting, a)
}

// Take returns up to limit of the oldest answers without removing them, so that a batch that was not stored
// is sent again. It returns nil when there is nothing to send.
func (b *Buffer) Take(limit int) *statev1.AnswerBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken = min(limit, len(b.waiting))
	if b.taken == 0 && !b.closed {
		return nil
	}
	out := &statev1.AnswerBatch{Host: b.host, Incarnation: b.incarnation, Answers: b.waiting[:b.taken:b.taken]}
	if b.closed && b.taken == len(b.waiting) {
		out.Closed = true
		out.Last = b.next - 1
	}
	return out
}

// Done removes the batch that Take returned last.
func (b *Buffer) Done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = b.waiting[b.taken:]
	b.taken = 0
}

// Close marks the end of the host's answers.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// Stats returns the number of answers that wait and the number dropped since the start.
func (b *Buffer) Stats() (waiting int, dropped uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting), b.dropped
}
