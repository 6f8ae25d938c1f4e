package gauger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/gauger"
)

var start = time.Unix(1000, 0)

func record(g *gauger.Gauger, unreachable, answered int, now time.Time) {
	for range unreachable {
		g.Record(true, now)
	}
	for range answered {
		g.Record(false, now)
	}
}

// isolated is the evidence of a host in a data centre that is cut off.
func isolated(stale time.Duration) gauger.Evidence {
	return gauger.Evidence{Stale: stale, Reached: 1, Lost: 20}
}

// Load: a data centre is cut off, and some shards or one service have no leaf in it. Guards against a host that
// continues to accept connections whose requests it cannot answer, and against one that stays cut off after the
// connectivity is restored.
func TestHostThatCannotAnswerIsCutOffUntilItIsBack(t *testing.T) {
	g := gauger.New()
	record(g, 2, 30, start)
	qt.Assert(t, g.CutOff(isolated(1500*time.Millisecond), start), qt.IsTrue)
	later := start.Add(5 * time.Second)
	qt.Assert(t, g.CutOff(isolated(6*time.Second), later), qt.IsTrue)
	qt.Assert(t, g.CutOff(isolated(100*time.Millisecond), later), qt.IsFalse)
	qt.Assert(t, g.CutOff(isolated(2*time.Second), later), qt.IsFalse)
}

// Load: all leaves of a shard are down while the control hosts are in contact; or the control hosts are down while
// the leaves of some services are down and others answer. Guards against all hosts turning callers away at the same
// time.
func TestTroubleOfLeavesOrOfControlAloneIsNoCut(t *testing.T) {
	g := gauger.New()
	record(g, 10, 0, start)
	qt.Assert(t, g.CutOff(isolated(500*time.Millisecond), start), qt.IsFalse)
	qt.Assert(t, g.CutOff(gauger.Evidence{Stale: time.Minute, Reached: 15, Lost: 6}, start), qt.IsFalse)
	qt.Assert(t, g.CutOff(gauger.Evidence{Stale: time.Minute}, start), qt.IsFalse)
	g = gauger.New()
	record(g, 1, 9, start)
	qt.Assert(t, g.CutOff(isolated(time.Minute), start), qt.IsFalse)
	record(g, 10, 0, start)
	qt.Assert(t, g.CutOff(isolated(time.Minute), start.Add(2*time.Second)), qt.IsFalse)
}

// Load: a data centre of 36 hosts is cut off. Each host receives less than one request a second, and the leaves in
// the data centre do not cover all routes. Guards against hosts that turn callers away only after their own requests
// have failed.
func TestHostsOfACutCenterKnowWithoutRequests(t *testing.T) {
	cutOff := gauger.Evidence{Stale: time.Second, ControlIsolated: true, CoverageInsufficient: true}
	qt.Assert(t, gauger.New().CutOff(cutOff, start), qt.IsTrue)
	for name, change := range map[string]func(*gauger.Evidence){
		"control host has contact to a leader": func(e *gauger.Evidence) { e.Stale = 500 * time.Millisecond },
		"control host hears from the others":   func(e *gauger.Evidence) { e.ControlIsolated = false },
		"leaves cover all routes":              func(e *gauger.Evidence) { e.CoverageInsufficient = false },
	} {
		e := cutOff
		change(&e)
		qt.Check(t, gauger.New().CutOff(e, start), qt.IsFalse, qt.Commentf(name))
	}
}

// Load: all control hosts but one lose power, and the remaining one hears from no other, while leaves and hosts of
// other data centres answer (scenario "stores", seed 103: 230 requests refused). Guards against entry hosts
// everywhere that mistake the loss of the control hosts for an isolation of their own data centre and turn their
// callers away.
func TestLossOfControlIsNoCutWhileOthersAnswer(t *testing.T) {
	lost := gauger.Evidence{Stale: time.Second, ControlIsolated: true, CoverageInsufficient: true, RemoteAnswered: true}
	qt.Assert(t, gauger.New().CutOff(lost, start), qt.IsFalse)

	// A host that considered itself cut off recovers as soon as anything in another data centre answers.
	g := gauger.New()
	lost.RemoteAnswered = false
	qt.Assert(t, g.CutOff(lost, start), qt.IsTrue)
	lost.RemoteAnswered = true
	qt.Assert(t, g.CutOff(lost, start), qt.IsFalse)
}
