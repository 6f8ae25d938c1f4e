package exchanger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHeadBytes limits the bytes that precede an answer's body: its head and all interim responses.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines that precede an answer's body. A decoded field takes many times the bytes of a short line.
	maxHeadLines = 256
	// framingBytes is permitted in addition to the length of a body, for chunk headers and trailers.
	framingBytes = 16 << 10
	// quotaExemptBytes is the size up to which an answer does not count against the quota, so that leaves that send too
	// much do not prevent others from answering.
	quotaExemptBytes = 64 << 10
	// DefaultQuota is the quota in bytes for hosts whose memory size is unknown.
	DefaultQuota = 64 << 20
)

// Errors for answers that are too large.
var (
	// ErrTooLong means that a leaf sent more bytes than its answer may have.
	ErrTooLong = errors.New("the leaf sent more bytes than its answer may have")
	// ErrQuotaExceeded means that the large answers being received at one time exceed the quota.
	ErrQuotaExceeded = errors.New("the quota for answers being received is used up")
)

// lineEnd ends each line of a head.
var lineEnd = []byte("\n")

// quota limits the total number of bytes of large answers that are being received at one time.
type quota struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes and reports whether the quota had room for them.
func (q *quota) reserve(n int64) bool {
	if q.used.Add(n) > q.limit {
		q.used.Add(-n)
		return false
	}
	return true
}

// meter limits the number of bytes read from a connection to what the current answer may have. It is confined to one
// goroutine.
type meter struct {
	conn  net.Conn
	quota *quota
	// remaining is the number of bytes that may still arrive, read the number received for the current answer, and
	// reserved the part of them that counts against the quota.
	remaining, read, reserved int64
	// lines is the number of lines received while inHead was true: until the head of the final response was decoded.
	lines  int
	inHead bool
	// ended is true once the leaf has closed its side of the connection.
	ended bool
}

// begin permits the head of the next answer.
func (m *meter) begin() {
	m.end()
	m.remaining, m.read = maxHeadBytes, 0
	m.lines, m.inHead = 0, true
}

// permit permits the body of the current answer.
func (m *meter) permit(body int64) {
	m.remaining = body + framingBytes
	m.inHead = false
}

// end releases the quota that the answer has reserved.
func (m *meter) end() {
	m.quota.used.Add(-m.reserved)
	m.reserved = 0
}

// Read reads from the connection. It returns ErrTooLong or ErrQuotaExceeded with the number of bytes received so far
// and a hash of the most recent ones.
func (m *meter) Read(p []byte) (int, error) {
	if m.inHead && m.lines > maxHeadLines {
		return 0, m.limitError(ErrTooLong, nil) // Another read for the head: all lines so far belong to it.
	}
	n, err := m.conn.Read(p)
	m.ended = m.ended || errors.Is(err, io.EOF)
	m.remaining -= int64(n)
	m.read += int64(n)
	if m.inHead {
		m.lines += bytes.Count(p[:n], lineEnd)
	}
	if m.remaining < 0 {
		return 0, m.limitError(ErrTooLong, p[:n])
	}
	if m.read > quotaExemptBytes {
		if !m.quota.reserve(int64(n)) {
			return 0, m.limitError(ErrQuotaExceeded, p[:n])
		}
		m.reserved += int64(n)
	}
	return n, err
}

func (m *meter) limitError(kind error, last []byte) error {
	return fmt.Errorf("%w: received %d bytes, the last %d of them with hash %016x", kind, m.read, len(last), xxhash.Sum64(last))
}
