// Package recorder maintains the record of answers to queries. Entry hosts number and buffer the answers, control hosts
// store them, and gaps in the numbers show which answers are missing.
package recorder

import (
	"sync"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// DefaultLimit is the default limit of buffered answers on an entry host. At 200 bytes per answer it is about 13 MB.
const DefaultLimit = 1 << 16

// Buffer numbers the answers of one host and buffers them until they are stored. It is safe for concurrent use.
type Buffer struct {
	host        string
	incarnation uint64
	limit       int

	mu       sync.Mutex
	next     uint64
	buffered []*statev1.Answer
	batchLen int
	dropped  uint64
	closed   bool
}

// NewBuffer returns an empty buffer for at most limit answers.
func NewBuffer(host string, incarnation uint64, limit int) *Buffer {
	return &Buffer{host: host, incarnation: incarnation, limit: limit, next: 1}
}

// Add numbers an answer and buffers it. If the buffer is full, the answer is dropped, which leaves a gap in the
// numbers.
func (b *Buffer) Add(a *statev1.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Host, a.Incarnation, a.Number = b.host, b.incarnation, b.next
	b.next++
	if len(b.buffered) >= b.limit {
		b.dropped++
		return
	}
	b.buffered = append(b.buffered, a)
}

// Peek returns up to limit of the oldest answers without removing them, so that a batch that was not stored is sent
// again. It returns nil if there is nothing to send.
func (b *Buffer) Peek(limit int) *statev1.AnswerBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batchLen = min(limit, len(b.buffered))
	if b.batchLen == 0 && !b.closed {
		return nil
	}
	out := &statev1.AnswerBatch{Host: b.host, Incarnation: b.incarnation, Answers: b.buffered[:b.batchLen:b.batchLen]}
	if b.closed && b.batchLen == len(b.buffered) {
		out.Closed = true
		out.Last = b.next - 1
	}
	return out
}

// Discard removes the batch that the last call of Peek returned.
func (b *Buffer) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered = b.buffered[b.batchLen:]
	b.batchLen = 0
}

// Close marks the end of the host's answers. The last batch then contains the mark.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// Stats returns the number of buffered answers and the number of answers dropped since the start.
func (b *Buffer) Stats() (buffered int, dropped uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buffered), b.dropped
}
