package planner_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/planner"
	"lycheelift.example/lib/tracer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

var update = flag.Bool("update", false, "record the traces in testdata anew")

// recordedFailures are the traces in testdata: how each is produced, and the coverage and outcome that it must have.
var recordedFailures = []struct {
	name     string
	fake     func() *fake
	query    planner.Query
	outcome  callerv1.Outcome
	answered uint32
	total    uint32
}{
	{name: "straggler", fake: func() *fake { return newFake(1, 3, 2).script(good, slow) }, outcome: callerv1.Outcome_OUTCOME_WHOLE, answered: 3, total: 3},
	{name: "lost-replica", fake: func() *fake { return newFake(1, 3, 2).script(good, broken) }, outcome: callerv1.Outcome_OUTCOME_WHOLE, answered: 3, total: 3},
	{name: "snapshot-switch", fake: switching, outcome: callerv1.Outcome_OUTCOME_WHOLE, answered: 5, total: 5},
	{name: "crossed-reply", fake: func() *fake { return newFake(1, 3, 1).script(good, crossedShard) }, outcome: callerv1.Outcome_OUTCOME_PARTIAL, answered: 2, total: 3},
	{
		name: "crash", fake: func() *fake { return newFake(1, 3, 2).script(crash) }, query: planner.Query{Canary: true},
		outcome: callerv1.Outcome_OUTCOME_FAILED, answered: 0, total: 3,
	},
	{name: "silent-leaf", fake: func() *fake { return newFake(1, 3, 3).script(good, lost, lost) }, outcome: callerv1.Outcome_OUTCOME_WHOLE, answered: 3, total: 3},
	{
		name: "replicas-gone", fake: func() *fake { return newFake(1, 1, 2).script(unsent, unsent, unsent, unsent, unsent, unsent) },
		outcome: callerv1.Outcome_OUTCOME_REFUSED, answered: 0, total: 1,
	},
	{
		name: "key-lost", fake: func() *fake { return newFake(1, 1, 2).script(broken) }, query: planner.Query{NonIdempotent: true},
		outcome: callerv1.Outcome_OUTCOME_UNKNOWN, answered: 0, total: 1,
	},
}

func switching() *fake {
	f := newFake(1, 3, 2).script(good, broken, good)
	f.addSnapshot(2, 5, 1)
	f.trigger, f.switchAfter = 0, time.Millisecond
	return f
}

// Guards against a change of the planner that handles a known failure differently than before.
func TestFailuresReplayAsStated(t *testing.T) {
	for _, c := range recordedFailures {
		path := filepath.Join("testdata", c.name+".jsonl")
		if *update {
			f := c.fake()
			f.traced = true
			f.run(c.query)
			var out bytes.Buffer
			qt.Assert(t, f.trace.Write(&out), qt.IsNil)
			qt.Assert(t, os.WriteFile(path, out.Bytes(), 0o600), qt.IsNil)
		}
		file, err := os.Open(path)
		qt.Assert(t, err, qt.IsNil)
		out, err := tracer.Replay(file)
		_ = file.Close()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", c.name))
		qt.Assert(t, out.Reply.GetOutcome(), qt.Equals, c.outcome, qt.Commentf("%s", c.name))
		qt.Assert(t, out.Reply.GetCoverage().GetAnswered(), qt.Equals, c.answered, qt.Commentf("%s", c.name))
		qt.Assert(t, out.Reply.GetCoverage().GetTotal(), qt.Equals, c.total, qt.Commentf("%s", c.name))
	}
}

// Guards against a replay that accepts a trace with a wrong outcome, action or event.
func TestFalseTracesAreRejected(t *testing.T) {
	data, err := os.ReadFile("testdata/straggler.jsonl")
	qt.Assert(t, err, qt.IsNil)
	for from, to := range map[string]string{
		"OUTCOME_WHOLE": "OUTCOME_PARTIAL",
		"send hedge":    "send retry",
		`"hedge"`:       `"retry"`,
		`"elapsed"`:     `"abandoned"`,
	} {
		qt.Assert(t, strings.Contains(string(data), from), qt.IsTrue, qt.Commentf("%s", from))
		_, err := tracer.Replay(strings.NewReader(strings.Replace(string(data), from, to, 1)))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", from))
	}
}
