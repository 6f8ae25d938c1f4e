package journaler_test

import (
	"errors"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lycheelift.example/lib/journaler"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run randomised tests with many cases")

// TestMain sets a fixed seed for rapid, so that a failure in CI is reproducible. With -soak, more cases are run.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if *soak {
		_ = flag.Set("rapid.checks", "20000")
	}
	os.Exit(m.Run())
}

// model is the expected content of a journal after the acknowledged operations.
type model struct {
	state    *statev1.HardState
	snapshot *statev1.Snapshot
	records  []*statev1.Record
}

func (m model) last() uint64 {
	if len(m.records) == 0 {
		return m.snapshot.GetIndex()
	}
	return m.records[len(m.records)-1].GetIndex()
}

func (m model) equal(c *journaler.Content) bool {
	return proto.Equal(m.state, c.State) && proto.Equal(m.snapshot, c.Snapshot) &&
		slices.EqualFunc(m.records, c.Records, func(a, b *statev1.Record) bool { return proto.Equal(a, b) })
}

// change draws one operation and returns the model after it.
func (m model) change(t *rapid.T, term uint64) (model, func(*journaler.Journal) error) {
	switch rapid.SampledFrom([]string{"append", "append", "append", "state", "compact", "install"}).Draw(t, "operation") {
	case "state":
		m.state = &statev1.HardState{Term: term, Vote: "a"}
		return m, func(j *journaler.Journal) error { return j.SaveState(m.state) }
	case "compact":
		if len(m.records) > 0 {
			at := rapid.IntRange(0, len(m.records)-1).Draw(t, "at")
			r := m.records[at]
			m.snapshot = &statev1.Snapshot{Index: r.GetIndex(), Term: r.GetTerm()}
			m.records = m.records[at+1:]
			return m, func(j *journaler.Journal) error { return j.Compact(m.snapshot) }
		}
	case "install":
		index := rapid.Uint64Range(m.snapshot.GetIndex()+1, m.last()+5).Draw(t, "index")
		m.snapshot, m.records = &statev1.Snapshot{Index: index, Term: term}, nil
		return m, func(j *journaler.Journal) error { return j.Install(m.snapshot) }
	}
	first := rapid.Uint64Range(m.snapshot.GetIndex()+1, m.last()+1).Draw(t, "first")
	m.records = slices.Clone(m.records[:first-m.snapshot.GetIndex()-1])
	var batch []*statev1.Record
	for i := range rapid.Uint64Range(1, 5).Draw(t, "count") {
		batch = append(batch, &statev1.Record{Index: first + i, Term: term})
	}
	m.records = append(m.records, batch...)
	return m, func(j *journaler.Journal) error { return j.Append(batch, 0) }
}

// Guards against the loss of acknowledged operations, and against other content than theirs and that of the operation
// in progress, when the disk fails or the host crashes at any write, sync, rename or deletion.
func TestCrashAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDisk()
		m := model{state: &statev1.HardState{}}
		term := uint64(1)
		for range rapid.IntRange(1, 8).Draw(t, "lives") {
			j, c, err := journaler.Open(d)
			if err != nil {
				t.Fatal(err)
			}
			if !m.equal(c) {
				t.Fatalf("opened %v, wanted %+v", c, m)
			}
			d.budget = rapid.IntRange(0, 40).Draw(t, "budget")
			for err == nil {
				term++
				next, operation := m.change(t, term)
				if err = operation(j); err == nil {
					m = next
					continue
				}
				if !errors.Is(err, errDisk) || !errors.Is(j.Append([]*statev1.Record{{Index: 1}}, 0), journaler.ErrFailed) {
					t.Fatalf("the journal accepts operations after %v", err)
				}
				d.crash(func(n int) int { return rapid.IntRange(0, n).Draw(t, "torn") }, rapid.Bool().Draw(t, "keepNames"))
				if _, c, err := journaler.Open(d); err == nil && next.equal(c) {
					m = next // The operation was not acknowledged, but may be complete.
				}
				d.crash(func(int) int { return 0 }, true)
			}
		}
	})
}

// Guards against a commit index that is lost at a restart, and against one that is read from a torn frame.
func TestCommitIndexIsKept(t *testing.T) {
	d := newDisk()
	j, _, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, j.Append([]*statev1.Record{{Index: 1, Term: 1}, {Index: 2, Term: 1}}, 1), qt.IsNil)
	qt.Assert(t, j.Append([]*statev1.Record{{Index: 3, Term: 1}}, 2), qt.IsNil)
	_, c, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Commit, qt.Equals, uint64(2))
	names, _ := d.List()
	d.names[names[0]].data = d.names[names[0]].data[:len(d.names[names[0]].data)-1]
	_, c, err = journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Commit, qt.Equals, uint64(1))
}

// Guards against opening a log that has lost acknowledged records in the middle.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	d := newDisk()
	j, _, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	for index := range uint64(3) {
		qt.Assert(t, j.Append([]*statev1.Record{{Index: index + 1, Term: 1}}, 0), qt.IsNil)
	}
	names, _ := d.List()
	data := d.names[names[0]].data
	size := len(data) / 3
	for offset := size; offset < 2*size; offset++ {
		data[offset] ^= 0xff
		_, _, err = journaler.Open(d)
		var damage *journaler.DamageError
		qt.Assert(t, errors.As(err, &damage), qt.IsTrue, qt.Commentf("offset %d: %v", offset, err))
		qt.Assert(t, damage.File, qt.Equals, names[0])
		qt.Assert(t, damage.Offset, qt.Equals, int64(size))
		data[offset] ^= 0xff
	}
	d.names[names[0]].data = data[:len(data)-1]
	_, c, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Records, qt.HasLen, 2)
	qt.Assert(t, c.Cut, qt.Equals, int64(size-1))
}

// Guards against a start that ignores a damaged hard state, which holds the vote, or a damaged snapshot.
func TestDamagedFilesAreNamed(t *testing.T) {
	d := newDisk()
	j, _, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, j.SaveState(&statev1.HardState{Term: 3}), qt.IsNil)
	qt.Assert(t, j.Install(&statev1.Snapshot{Index: 3}), qt.IsNil)
	for name, c := range d.names {
		if strings.HasPrefix(name, "log-") {
			continue
		}
		c.data[len(c.data)-1] ^= 1
		_, _, err = journaler.Open(d)
		qt.Assert(t, err, qt.ErrorMatches, name+" is damaged at offset 0: .*")
		c.data[len(c.data)-1] ^= 1
	}
}

// Guards against two processes that write to the same data folder, and against a log that is lost on a real file
// system.
func TestFolder(t *testing.T) {
	path := t.TempDir() + "/data/log"
	f, err := journaler.OpenFolder(path)
	qt.Assert(t, err, qt.IsNil)
	_, err = journaler.OpenFolder(path)
	qt.Assert(t, err, qt.ErrorIs, journaler.ErrLocked)
	j, _, err := journaler.Open(f)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, j.Append([]*statev1.Record{{Index: 1, Term: 1}}, 0), qt.IsNil)
	qt.Assert(t, j.Compact(&statev1.Snapshot{Index: 1, Term: 1}), qt.IsNil)
	qt.Assert(t, j.Append([]*statev1.Record{{Index: 2, Term: 1}}, 0), qt.IsNil)
	qt.Assert(t, j.Close(), qt.IsNil)
	qt.Assert(t, f.Close(), qt.IsNil)
	f, err = journaler.OpenFolder(path)
	qt.Assert(t, err, qt.IsNil)
	_, c, err := journaler.Open(f)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Snapshot.GetIndex(), qt.Equals, uint64(1))
	qt.Assert(t, c.Records, qt.HasLen, 1)
	qt.Assert(t, f.Close(), qt.IsNil)
}
