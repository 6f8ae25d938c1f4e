package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/quarantiner"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against two concurrent canaries of one fingerprint, and against waiting requests that are never resumed.
func TestOneCanaryAtATime(t *testing.T) {
	q := quarantiner.New()
	first := q.Enter(7, true, now)
	qt.Assert(t, first.Verdict, qt.Equals, quarantiner.Canary)
	second := q.Enter(7, true, now)
	qt.Assert(t, second.Verdict, qt.Equals, quarantiner.Wait)
	qt.Assert(t, q.Enter(8, true, now).Verdict, qt.Equals, quarantiner.Canary)
	q.Leave(7, first)
	<-second.Ended
	third := q.Enter(7, true, now)
	qt.Assert(t, third.Verdict, qt.Equals, quarantiner.Canary)
	q.Leave(7, first)
	qt.Assert(t, q.Enter(7, true, now).Verdict, qt.Equals, quarantiner.Wait)
	q.Clear(7, now)
	q.Leave(7, third)
	qt.Assert(t, q.Enter(7, true, now).Verdict, qt.Equals, quarantiner.Free)
}

// Guards against a third crash, and against a block that never ends.
func TestSecondCrashBlocksForAnHour(t *testing.T) {
	q := quarantiner.New()
	q.Crash(7, "a", quarantiner.SharedCanary, now)
	ticket := q.Enter(7, false, now)
	qt.Assert(t, ticket.Verdict, qt.Equals, quarantiner.Alone)
	report := q.Crash(7, "b", quarantiner.ExclusiveCanary, now)
	q.Leave(7, ticket)
	qt.Assert(t, report, qt.DeepEquals, quarantiner.Report{Crashes: []string{"a", "b"}, Blocked: true})
	qt.Assert(t, q.Enter(7, true, now.Add(59*time.Minute)).Verdict, qt.Equals, quarantiner.Blocked)
	qt.Assert(t, q.Clear(7, now), qt.IsFalse)
	qt.Assert(t, q.Enter(7, true, now).Verdict, qt.Equals, quarantiner.Blocked)
	qt.Assert(t, q.Enter(7, true, now.Add(time.Hour)).Verdict, qt.Equals, quarantiner.Canary)
}

// Guards against blocking an innocent request because it was in flight together with harmful ones, and against a suspect
// that stays suspected after a good reply.
func TestInnocentRequestIsNotBlocked(t *testing.T) {
	q := quarantiner.New()
	for i := range 100 {
		q.Crash(7, fmt.Sprint(i), quarantiner.Concurrent, now)
	}
	ticket := q.Enter(7, true, now)
	qt.Assert(t, ticket.Verdict, qt.Equals, quarantiner.Alone)
	qt.Assert(t, q.Clear(7, now), qt.IsTrue)
	q.Leave(7, ticket)
	qt.Assert(t, q.Enter(7, true, now).Verdict, qt.Equals, quarantiner.Free)
}

// Guards against counting a crash twice when it is reported twice, and against hosts that do not learn of a block.
func TestReportsAreMerged(t *testing.T) {
	q := quarantiner.New()
	one := quarantiner.Report{Crashes: []string{"a"}}
	q.Merge(7, one, now)
	qt.Assert(t, q.Merge(7, one, now).Blocked, qt.IsFalse)
	qt.Assert(t, q.Merge(7, quarantiner.Report{Crashes: []string{"b"}}, now).Blocked, qt.IsTrue)
	qt.Assert(t, q.Merge(8, quarantiner.Report{Blocked: true}, now).Blocked, qt.IsTrue)
}

// Guards against treating a request that crashed a server as good again after its entry was evicted.
func TestForgottenSuspectIsNotGood(t *testing.T) {
	q := quarantiner.New()
	q.Clear(16, now)
	q.Crash(16, "a", quarantiner.SharedCanary, now)
	for f := range uint64(1024) {
		q.Crash(16*(f+2), "a", quarantiner.Concurrent, now.Add(time.Second))
	}
	qt.Assert(t, q.Enter(16, true, now.Add(time.Second)).Verdict, qt.Equals, quarantiner.Canary)
}

// Guards against unbounded memory: good fingerprints and suspects are evicted, blocked fingerprints last.
func TestMemoryIsBounded(t *testing.T) {
	q := quarantiner.New()
	q.Merge(1, quarantiner.Report{Blocked: true}, now)
	for f := range uint64(400_000) {
		q.Clear(f+16, now)
	}
	for f := range uint64(20_000) {
		q.Crash(f+1_000_000, "a", quarantiner.Concurrent, now)
	}
	good, suspects := 0, 0
	for f := range uint64(400_000) {
		if q.Enter(f+16, true, now).Verdict == quarantiner.Free {
			good++
		}
		if q.Enter(f+1_000_000, false, now).Verdict == quarantiner.Alone {
			suspects++
		}
	}
	qt.Assert(t, good <= 2*16*4096, qt.IsTrue, qt.Commentf("%d", good))
	qt.Assert(t, suspects <= 16*1024, qt.IsTrue, qt.Commentf("%d", suspects))
	qt.Assert(t, q.Enter(1, true, now).Verdict, qt.Equals, quarantiner.Blocked)
	qt.Assert(t, q.Enter(400_015, true, now).Verdict, qt.Equals, quarantiner.Free)
	qt.Assert(t, q.Enter(400_015, true, now.Add(11*time.Minute)).Verdict, qt.Equals, quarantiner.Free)
	qt.Assert(t, q.Enter(400_015, true, now.Add(35*time.Minute)).Verdict, qt.Equals, quarantiner.Canary)
}

// Callers of all hosts send an innocent request that no host knows yet, together with a harmful one. Canaries of the innocent
// request from several hosts are in flight on the one server that crashes. Guards against counting this crash once per host
// and blocking the innocent request.
func TestOneCrashCountsOnceForAllHosts(t *testing.T) {
	hosts := []*quarantiner.Quarantiner{quarantiner.New(), quarantiner.New(), quarantiner.New()}
	for _, reporting := range hosts {
		report := reporting.Crash(7, "leaf/1", quarantiner.SharedCanary, now)
		for _, receiving := range hosts {
			receiving.Merge(7, report, now)
		}
	}
	for _, h := range hosts {
		ticket := h.Enter(7, true, now)
		qt.Assert(t, ticket.Verdict, qt.Equals, quarantiner.Alone)
		h.Leave(7, ticket)
	}
	qt.Assert(t, hosts[0].Crash(7, "leaf/2", quarantiner.SharedCanary, now).Blocked, qt.IsTrue)
}
