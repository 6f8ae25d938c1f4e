package journaler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/journaler"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// kill ends the process: what it wrote remains visible, but is not more durable than before. cut returns how many of the
// unsynced bytes of a file were written.
func (d *disk) kill(cut func(unsynced int) int) {
	for _, c := range d.names {
		c.data = c.data[:c.synced+cut(len(c.data)-c.synced)]
	}
	d.budget = -1
}

// Guards against recovered content that a later power loss takes back: a process is killed at each write, sync and rename of
// an operation, with the written bytes cut anywhere; the next process opens the files and goes on; then the power fails and
// every unsynced byte and name is lost.
func TestRecoveredContentSurvivesAPowerLoss(t *testing.T) {
	operations := map[string]func(j *journaler.Journal) error{
		"append": func(j *journaler.Journal) error {
			return j.Append([]*statev1.Record{{Index: 4, Term: 2}, {Index: 5, Term: 2}}, 3)
		},
		"replace": func(j *journaler.Journal) error { return j.Append([]*statev1.Record{{Index: 2, Term: 2}}, 1) },
		"vote":    func(j *journaler.Journal) error { return j.SaveState(&statev1.HardState{Term: 2, Vote: "b"}) },
		"compact": func(j *journaler.Journal) error { return j.Compact(&statev1.Snapshot{Index: 2, Term: 1}) },
		"install": func(j *journaler.Journal) error { return j.Install(&statev1.Snapshot{Index: 9, Term: 2}) },
	}
	for name, operation := range operations {
		t.Run(name, func(t *testing.T) {
			for budget, done := 0, false; !done; budget++ {
				for cut, longest := 0, 0; cut <= longest; cut++ {
					d := newDisk()
					done = interrupt(t, d, operation, budget)
					d.kill(func(unsynced int) int {
						longest = max(longest, unsynced)
						return min(cut, unsynced)
					})
					comment := qt.Commentf("killed after %d operations of the disk, with %d unsynced bytes", budget, cut)
					recovered := restart(t, d, comment)
					d.crash(func(int) int { return 0 }, false)
					_, c, err := journaler.Open(d)
					qt.Assert(t, err, qt.IsNil, comment)
					qt.Assert(t, recovered.equal(c), qt.IsTrue, comment)
				}
			}
		})
	}
}

// interrupt fills a journal and then runs an operation that fails after some operations of the disk. It reports whether the
// operation has succeeded.
func interrupt(t *testing.T, d *disk, operation func(*journaler.Journal) error, budget int) bool {
	t.Helper()
	j, _, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, j.SaveState(&statev1.HardState{Term: 1, Vote: "a"}), qt.IsNil)
	qt.Assert(t, j.Append([]*statev1.Record{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}, 0), qt.IsNil)
	d.budget = budget
	return operation(j) == nil
}

// restart opens the files and appends the next record, as a restarted host does. It returns the expected content.
func restart(t *testing.T, d *disk, comment qt.Comment) model {
	t.Helper()
	j, c, err := journaler.Open(d)
	qt.Assert(t, err, qt.IsNil, comment)
	m := model{state: c.State, snapshot: c.Snapshot, records: c.Records}
	next := &statev1.Record{Index: m.last() + 1, Term: 3}
	qt.Assert(t, j.Append([]*statev1.Record{next}, 0), qt.IsNil, comment)
	m.records = append(m.records, next)
	return m
}
