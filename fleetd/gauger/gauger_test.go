package gauger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/gauger"
)

var start = time.Unix(1000, 0)

func note(g *gauger.Gauger, unreachable, answered int, now time.Time) {
	for range unreachable {
		g.Note(true, now)
	}
	for range answered {
		g.Note(false, now)
	}
}

// alone is the evidence of a host in a data centre that is cut off.
func alone(stale time.Duration) gauger.Evidence {
	return gauger.Evidence{Stale: stale, Reached: 1, Lost: 20}
}

// Load: a data centre is cut off, and some shards or one service have no leaf in it. Guards against a host that goes
// on to take connections whose requests it cannot answer, and against one that stays away when it is back.
func TestHostThatCannotAnswerIsCutOffUntilItIsBack(t *testing.T) {
	g := gauger.New()
	note(g, 2, 30, start)
	qt.Assert(t, g.CutOff(alone(1500*time.Millisecond), start), qt.IsTrue)
	later := start.Add(5 * time.Second)
	qt.Assert(t, g.CutOff(alone(6*time.Second), later), qt.IsTrue)
	qt.Assert(t, g.CutOff(alone(100*time.Millisecond), later), qt.IsFalse)
	qt.Assert(t, g.CutOff(alone(2*time.Second), later), qt.IsFalse)
}

// Load: all leaves of a shard are down while control is in contact; or control is down while leaves of some services
// are down and others answer. Guards against all hosts turning callers away at one time.
func TestTroubleOfLeavesOrOfControlAloneIsNoCut(t *testing.T) {
	g := gauger.New()
	note(g, 10, 0, start)
	qt.Assert(t, g.CutOff(alone(500*time.Millisecond), start), qt.IsFalse)
	qt.Assert(t, g.CutOff(gauger.Evidence{Stale: time.Minute, Reached: 15, Lost: 6}, start), qt.IsFalse)
	qt.Assert(t, g.CutOff(gauger.Evidence{Stale: time.Minute}, start), qt.IsFalse)
	g = gauger.New()
	note(g, 1, 9, start)
	qt.Assert(t, g.CutOff(alone(time.Minute), start), qt.IsFalse)
	note(g, 10, 0, start)
	qt.Assert(t, g.CutOff(alone(time.Minute), start.Add(2*time.Second)), qt.IsFalse)
}

// Load: a data centre of 36 hosts is cut off, each of which gets less than one request a second, and the leaves in it do
// not suffice. Guards against hosts that turn callers away only after requests of their own have failed.
func TestHostsOfACutCenterKnowWithoutRequests(t *testing.T) {
	cut := gauger.Evidence{Stale: time.Second, Alone: true, Short: true}
	qt.Assert(t, gauger.New().CutOff(cut, start), qt.IsTrue)
	for name, change := range map[string]func(*gauger.Evidence){
		"control hears a leader":   func(e *gauger.Evidence) { e.Stale = 500 * time.Millisecond },
		"control hears the others": func(e *gauger.Evidence) { e.Alone = false },
		"the leaves suffice":       func(e *gauger.Evidence) { e.Short = false },
	} {
		e := cut
		change(&e)
		qt.Check(t, gauger.New().CutOff(e, start), qt.IsFalse, qt.Commentf(name))
	}
}

// Load: all control hosts but one lose power, which then hears none of the others, while leaves and hosts of other data
// centres answer (own day "stores", seed 103: 230 requests refused). Guards against entry hosts everywhere that take the
// loss of control for a cut of their own data centre and turn their callers away.
func TestLossOfControlIsNoCutWhileOthersAnswer(t *testing.T) {
	lost := gauger.Evidence{Stale: time.Second, Alone: true, Short: true, Answered: true}
	qt.Assert(t, gauger.New().CutOff(lost, start), qt.IsFalse)

	// A host that took itself for cut off is back as soon as something elsewhere answers.
	g := gauger.New()
	lost.Answered = false
	qt.Assert(t, g.CutOff(lost, start), qt.IsTrue)
	lost.Answered = true
	qt.Assert(t, g.CutOff(lost, start), qt.IsFalse)
}
