package exchanger

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHead bounds the bytes in front of an answer's body: its head and all interim responses.
	maxHead = 64 << 10
	// framing is permitted beyond the length of a body, for chunks and trailers.
	framing = 16 << 10
	// freeBytes is the size up to which an answer takes nothing from the quota of all answers, so that leaves that send
	// too much do not keep others from answering.
	freeBytes = 64 << 10
	// DefaultQuota bounds the bytes of all large answers that arrive at one time where the memory of the host is not known.
	DefaultQuota = 64 << 20
)

// Errors of answers that are too large.
var (
	// ErrTooLong means that a leaf sent more bytes than its answer can need.
	ErrTooLong = errors.New("the leaf sent more bytes than an answer can have")
	// ErrCrowded means that the large answers that arrive at one time have no room together.
	ErrCrowded = errors.New("too many bytes of answers arrive at one time")
)

// quota bounds the bytes of large answers that arrive at one time.
type quota struct {
	most int64
	used atomic.Int64
}

// take reports whether there was room for n bytes.
func (q *quota) take(n int64) bool {
	if q.used.Add(n) > q.most {
		q.used.Add(-n)
		return false
	}
	return true
}

// meter reads from a connection as many bytes as the present answer may have. It belongs to one goroutine.
type meter struct {
	conn  net.Conn
	quota *quota
	// left is the number of bytes that may still arrive, read the number that has arrived for the present answer, and
	// held the part of them that counts for the quota.
	left, read, held int64
}

// begin permits the head of the next answer.
func (m *meter) begin() {
	m.end()
	m.left, m.read = maxHead, 0
}

// permit permits the body of the present answer.
func (m *meter) permit(body int64) {
	m.left = body + framing
}

// end gives the answer's part of the quota back.
func (m *meter) end() {
	m.quota.used.Add(-m.held)
	m.held = 0
}

// Read reads from the connection. It returns ErrTooLong or ErrCrowded with the number of bytes so far and a hash of the
// last ones.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.conn.Read(p)
	m.left -= int64(n)
	m.read += int64(n)
	if m.left < 0 {
		return 0, m.refuse(ErrTooLong, p[:n])
	}
	if m.read > freeBytes {
		if !m.quota.take(int64(n)) {
			return 0, m.refuse(ErrCrowded, p[:n])
		}
		m.held += int64(n)
	}
	return n, err
}

func (m *meter) refuse(kind error, last []byte) error {
	return fmt.Errorf("%w: %d bytes so far, the last %d of them with hash %016x", kind, m.read, len(last), xxhash.Sum64(last))
}
