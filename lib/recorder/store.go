package recorder

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/journaler"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	segmentPrefix = "answers-"
	// segmentSize is the size in bytes at which a new segment is started; retention deletes whole segments.
	segmentSize = 8 << 20
)

// Store stores batches of answers in checksummed segments. It is safe for concurrent use.
type Store struct {
	fs        journaler.FileSystem
	retention time.Duration
	maxBytes  int64

	mu       sync.Mutex
	segments []*segment
	file     journaler.File
	failed   error
	written  uint64

	syncMu sync.Mutex
	synced uint64
}

// segment is a file of batches.
type segment struct {
	name   string
	number uint64
	size   int64
	spans  []*statev1.Span
	// damaged is the number of bytes that were unreadable when the segment was opened.
	damaged int64
}

// OpenStore reads the segments and starts a new one. It skips damaged parts, which appear as gaps in the numbers.
func OpenStore(fs journaler.FileSystem, retention time.Duration, maxBytes int64) (*Store, error) {
	s := &Store{fs: fs, retention: retention, maxBytes: maxBytes}
	names, err := fs.List()
	if err != nil {
		return nil, oops.In("recorder").Wrapf(err, "list segments")
	}
	slices.Sort(names)
	for _, name := range names {
		var number uint64
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &number); err != nil {
			return nil, oops.In("recorder").Wrapf(err, "segment name %s", name)
		}
		g := &segment{name: name, number: number}
		if err := s.index(g); err != nil {
			return nil, err
		}
		s.segments = append(s.segments, g)
	}
	return s, s.rotate()
}

// index reads the spans of a segment.
func (s *Store) index(g *segment) error {
	data, err := journaler.ReadDurable(s.fs, g.name) // A batch that is stored already is acknowledged.
	if err != nil {
		return oops.In("recorder").Wrapf(err, "read %s", g.name)
	}
	g.size = int64(len(data))
	g.damaged = journaler.Frames(data, func(payload []byte) {
		batch := &statev1.AnswerBatch{}
		if proto.Unmarshal(payload, batch) == nil {
			g.spans = Union(append(g.spans, spans(batch)...))
		}
	})
	return nil
}

// rotate starts a new segment.
func (s *Store) rotate() error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return oops.In("recorder").Wrapf(err, "close segment")
		}
	}
	g := &segment{name: fmt.Sprintf("%s%012d", segmentPrefix, number), number: number}
	file, err := s.fs.Create(g.name)
	if err != nil {
		return oops.In("recorder").Wrapf(err, "create segment")
	}
	if err := s.fs.Sync(); err != nil {
		return oops.In("recorder").Wrapf(err, "sync folder")
	}
	s.file = file
	s.segments = append(s.segments, g)
	return nil
}

// Append stores a batch and returns when it is durable. A batch that is already stored is not stored again.
func (s *Store) Append(batch *statev1.AnswerBatch, now time.Time) error {
	ticket, err := s.write(batch, now)
	if err != nil {
		return err
	}
	return s.sync(ticket)
}

func (s *Store) write(batch *statev1.AnswerBatch, now time.Time) (uint64, error) {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return 0, oops.In("recorder").Wrapf(err, "encode batch")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return 0, s.failed
	}
	batchSpans := spans(batch)
	if s.storesAll(batchSpans) {
		return s.written, nil
	}
	g := s.segments[len(s.segments)-1]
	if g.size >= segmentSize {
		// Sync the old segment before closing it, because sync only syncs the current file: a write to the old one
		// must not be acknowledged before it is durable.
		if err := s.fail(s.file.Sync()); err != nil {
			return 0, err
		}
		if err := s.fail(s.rotate()); err != nil {
			return 0, err
		}
		s.expire(now)
		g = s.segments[len(s.segments)-1]
	}
	frame := journaler.Frame(payload)
	if _, err := s.file.Write(frame); err != nil {
		return 0, s.fail(err)
	}
	g.size += int64(len(frame))
	g.spans = Union(append(g.spans, batchSpans...))
	s.written++
	return s.written, nil
}

// fail records a failed write or sync. All later writes fail, because the content of the file is then unknown.
func (s *Store) fail(err error) error {
	if err != nil && s.failed == nil {
		s.failed = oops.In("recorder").Wrapf(err, "the record of answers cannot be written until a restart")
	}
	return s.failed
}

// sync makes all writes up to the ticket durable. Concurrent appends share one sync.
func (s *Store) sync(ticket uint64) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	if s.synced >= ticket {
		return nil
	}
	s.mu.Lock()
	file, upTo := s.file, s.written
	s.mu.Unlock()
	err := file.Sync()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && file == s.file {
		return s.fail(err)
	}
	if s.failed != nil {
		return s.failed
	}
	s.synced = upTo
	return nil
}

// storesAll reports whether all numbers of the spans are already stored. It returns false for the mark of a closed
// host, which is always written.
func (s *Store) storesAll(in []*statev1.Span) bool {
	for _, span := range in {
		if span.GetClosed() || !s.stores(span) {
			return false
		}
	}
	return true
}

func (s *Store) stores(span *statev1.Span) bool {
	for _, g := range s.segments {
		for _, stored := range g.spans {
			if sameSource(stored, span) && stored.GetFrom() <= span.GetFrom() && span.GetUntil() <= stored.GetUntil() {
				return true
			}
		}
	}
	return false
}

// expire deletes the oldest segments that exceed the retention time or the space limit.
func (s *Store) expire(now time.Time) {
	for len(s.segments) > 1 && (s.totalSize() > s.maxBytes || s.segments[0].last().Before(now.Add(-s.retention))) {
		if s.fs.Remove(s.segments[0].name) != nil {
			return
		}
		s.segments = s.segments[1:]
	}
}

func (s *Store) totalSize() int64 {
	var sum int64
	for _, g := range s.segments {
		sum += g.size
	}
	return sum
}

// last returns the time of the newest answer of a segment.
func (g *segment) last() time.Time {
	var out time.Time
	for _, span := range g.spans {
		if t := span.GetLast().AsTime(); t.After(out) {
			out = t
		}
	}
	return out
}

// first returns the time of the oldest answer of a segment.
func (g *segment) first() time.Time {
	out := g.last()
	for _, span := range g.spans {
		if t := span.GetFirst().AsTime(); span.GetFirst() != nil && t.Before(out) {
			out = t
		}
	}
	return out
}

// Search returns the answers that match a query, the spans stored here, and whether the list was truncated at the
// limit.
func (s *Store) Search(q *Query) ([]*statev1.Answer, []*statev1.Span, bool, error) {
	names, stored := s.selectSegments(q)
	var out []*statev1.Answer
	for _, name := range names {
		data, err := s.fs.Read(name)
		if err != nil {
			return nil, nil, false, oops.In("recorder").Wrapf(err, "read %s", name)
		}
		journaler.Frames(data, func(payload []byte) {
			batch := &statev1.AnswerBatch{}
			if proto.Unmarshal(payload, batch) != nil {
				return
			}
			for _, a := range batch.GetAnswers() {
				if q.Matches(a) {
					out = append(out, a)
				}
			}
		})
		if q.Limit > 0 && len(out) > q.Limit {
			return out[:q.Limit], stored, true, nil
		}
	}
	return out, stored, false, nil
}

// selectSegments returns the names of the segments that may contain matching answers, and all spans.
func (s *Store) selectSegments(q *Query) ([]string, []*statev1.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	var stored []*statev1.Span
	for _, g := range s.segments {
		stored = append(stored, g.spans...)
		if (q.From.IsZero() || !g.last().Before(q.From)) && (q.Until.IsZero() || !g.first().After(q.Until)) {
			names = append(names, g.name)
		}
	}
	return names, Union(stored)
}

// Close closes the open segment.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return oops.In("recorder").Wrapf(s.file.Close(), "close segment")
}
