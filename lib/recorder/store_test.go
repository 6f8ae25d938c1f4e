package recorder_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/journaler"
	"lycheelift.example/lib/recorder"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func open(t *testing.T, path string) (*recorder.Store, *journaler.Folder) {
	folder, err := journaler.OpenFolder(path)
	qt.Assert(t, err, qt.IsNil)
	s, err := recorder.OpenStore(folder, time.Hour, 1<<30)
	qt.Assert(t, err, qt.IsNil)
	return s, folder
}

func fill(t *testing.T, s *recorder.Store, from, count int) {
	b := recorder.NewBuffer("entry-1", 1, count+from)
	for i := 1; i < from+count; i++ {
		b.Add(answer(i))
	}
	b.Peek(from - 1)
	b.Discard()
	qt.Assert(t, s.Append(b.Peek(count), start), qt.IsNil)
}

// Guards against answers that are lost at a restart, and against resent batches that are stored twice.
func TestStoreKeepsAnswersOverARestart(t *testing.T) {
	path := t.TempDir()
	s, folder := open(t, path)
	fill(t, s, 1, 10)
	fill(t, s, 1, 10)
	qt.Assert(t, s.Close(), qt.IsNil)
	qt.Assert(t, folder.Close(), qt.IsNil)
	s, _ = open(t, path)
	fill(t, s, 1, 10)
	found, spans, more, err := s.Search(&recorder.Query{From: start.Add(3 * time.Second), Until: start.Add(5 * time.Second)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, more, qt.IsFalse)
	qt.Assert(t, found, qt.HasLen, 3)
	qt.Assert(t, spans, qt.HasLen, 1)
	qt.Assert(t, spans[0].GetUntil(), qt.Equals, uint64(10))
}

// Guards against a damaged segment whose missing answers are not reported as a gap.
func TestDamageIsAGap(t *testing.T) {
	path := t.TempDir()
	s, folder := open(t, path)
	fill(t, s, 1, 5)
	fill(t, s, 6, 5)
	fill(t, s, 11, 5)
	qt.Assert(t, s.Close(), qt.IsNil)
	qt.Assert(t, folder.Close(), qt.IsNil)
	name := filepath.Join(path, "answers-000000000001")
	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	data[len(data)/2] ^= 0xff
	qt.Assert(t, os.WriteFile(name, data, 0o600), qt.IsNil)
	s, _ = open(t, path)
	_, spans, _, err := s.Search(&recorder.Query{})
	qt.Assert(t, err, qt.IsNil)
	gaps := recorder.Gaps(recorder.Union(spans), start, start.Add(20*time.Second), time.Minute)
	qt.Assert(t, gaps, qt.HasLen, 1)
	qt.Assert(t, []uint64{gaps[0].GetFrom(), gaps[0].GetUntil()}, qt.DeepEquals, []uint64{6, 10})
}

// failing is a folder whose files cannot be synced.
type failing struct{ *journaler.Folder }

type failingFile struct{ journaler.File }

func (f failing) Create(name string) (journaler.File, error) {
	file, err := f.Folder.Create(name)
	return failingFile{file}, err
}

func (failingFile) Sync() error { return os.ErrPermission }

// Guards against acknowledging answers that are not on disk.
func TestAppendFailsWhenTheDiskDoes(t *testing.T) {
	folder, err := journaler.OpenFolder(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	s, err := recorder.OpenStore(failing{folder}, time.Hour, 1<<30)
	qt.Assert(t, err, qt.IsNil)
	batch := &statev1.AnswerBatch{Host: "entry-1", Incarnation: 1, Answers: []*statev1.Answer{answer(1)}}
	qt.Assert(t, s.Append(batch, start), qt.IsNotNil)
	qt.Assert(t, s.Append(batch, start), qt.IsNotNil)
}

// BenchmarkAppend measures storing a batch of 100 answers.
func BenchmarkAppend(b *testing.B) {
	folder, err := journaler.OpenFolder(b.TempDir())
	qt.Assert(b, err, qt.IsNil)
	s, err := recorder.OpenStore(folder, time.Hour, 1<<40)
	qt.Assert(b, err, qt.IsNil)
	buffer := recorder.NewBuffer("entry-1", 1, 1000)
	for b.Loop() {
		for range 100 {
			a := answer(1)
			a.Id, a.Service, a.Tenant = "0123456789abcdef", "pricing-1", "chain-a"
			buffer.Add(a)
		}
		qt.Assert(b, s.Append(buffer.Peek(100), start), qt.IsNil)
		buffer.Discard()
	}
}
