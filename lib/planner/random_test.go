package planner_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheelift.example/lib/planner"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

var soak = flag.Bool("soak", false, "run many more random cases")

// TestMain fixes the seed, so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	checks := "4000"
	if *soak {
		checks = "400000"
	}
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var allBehaviours = []behaviour{
	good, good, good, good, slow, lost, vanished, late, duplicated, crossedShard, crossedQuery, wrongSnapshot,
	unsent, notOwner, shed, failing, broken, crash,
}

// Guards against false statements in a reply under lost, late, crossed, duplicated and wrong results, snapshot switches
// and crashes: the reply is compared with the fake's own record of the calls.
func TestRepliesStateWhatHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(1, 4).Draw(t, "replicas"))
		if rapid.Bool().Draw(t, "switches") {
			f.addSnapshot(2, rapid.IntRange(1, 6).Draw(t, "newshards"), rapid.IntRange(1, 3).Draw(t, "newreplicas"))
			f.switchAfter = time.Duration(rapid.IntRange(1, 99).Draw(t, "switch")) * time.Millisecond
		}
		f.hedges, f.retries = rapid.IntRange(0, 10).Draw(t, "hedges"), rapid.IntRange(0, 10).Draw(t, "retries")
		faultPercent := rapid.IntRange(0, 100).Draw(t, "faulty")
		f.nextBehaviour = func() behaviour {
			if f.random.IntN(100) >= faultPercent {
				return good
			}
			return allBehaviours[f.random.IntN(len(allBehaviours))]
		}
		q := planner.Query{NonIdempotent: rapid.Bool().Draw(t, "keyed"), MinCoverage: rapid.Float64Range(0, 1).Draw(t, "least")}
		q.Canary = !q.NonIdempotent && rapid.Bool().Draw(t, "canary")
		q.Exclusive = q.Canary && rapid.Bool().Draw(t, "alone")
		f.run(q)
		checkReply(t, f, q)
	})
}

// checkReply compares a reply with the fake's record.
func checkReply(t *rapid.T, f *fake, q planner.Query) {
	if len(f.replies) != 1 {
		t.Fatalf("%d replies", len(f.replies))
	}
	r := f.replies[0]
	if end := epoch.Add(100*time.Millisecond - planner.HopMargin); f.finished.After(end) {
		t.Fatalf("the reply was sent %s after its deadline", f.finished.Sub(end))
	}
	checkParts(t, f, r)
	checkOutcome(t, f, q, r)
	checkLoad(t, f, q)
}

// checkParts finds parts that no leaf returned, mixed snapshots, and shards reported missing although they answered.
func checkParts(t *rapid.T, f *fake, r *planner.Reply) {
	if int(r.Total) != f.shards[r.Snapshot] || int(r.Answered) != len(r.Parts) || int(r.Answered)+len(r.Missing) != int(r.Total) {
		t.Fatalf("coverage %d of %d with %d missing in snapshot %d", r.Answered, r.Total, len(r.Missing), r.Snapshot)
	}
	seen := make(map[uint32]bool)
	for _, part := range r.Parts {
		found := false
		for _, c := range f.records {
			found = found || (c.delivered && c.call.Snapshot == r.Snapshot && c.call.Shard == part.Shard && string(body(c.call)) == string(part.Body))
		}
		if !found || seen[part.Shard] {
			t.Fatalf("part %q of shard %d was returned by no leaf, or is listed twice", part.Body, part.Shard)
		}
		seen[part.Shard] = true
	}
	for _, m := range r.Missing {
		for _, c := range f.records {
			if c.delivered && c.call.Snapshot == r.Snapshot && c.call.Shard == m.Shard {
				t.Fatalf("shard %d is reported missing but %s answered", m.Shard, c.call.Attempt)
			}
		}
		if seen[m.Shard] || m.Reason == callerv1.Reason_REASON_UNSPECIFIED {
			t.Fatalf("missing shard %d is answered, listed twice or without a reason", m.Shard)
		}
		seen[m.Shard] = true
	}
}

// checkOutcome finds false refusals, and known outcomes where the outcome is uncertain.
func checkOutcome(t *rapid.T, f *fake, q planner.Query, r *planner.Reply) {
	uncertain := false
	for _, c := range f.records {
		if c.received && r.Outcome == callerv1.Outcome_OUTCOME_REFUSED {
			t.Fatalf("refused as not run, but a leaf received %s", c.call.Attempt)
		}
		uncertain = uncertain || (c.received && !c.resultKnown)
	}
	if q.NonIdempotent && uncertain && r.Outcome != callerv1.Outcome_OUTCOME_UNKNOWN {
		t.Fatalf("%s, but a call may have run without a result", r.Outcome)
	}
	if (r.Outcome == callerv1.Outcome_OUTCOME_WHOLE) != (r.Answered == r.Total) && r.Outcome != callerv1.Outcome_OUTCOME_UNKNOWN {
		t.Fatalf("%s with coverage %d of %d", r.Outcome, r.Answered, r.Total)
	}
	if r.Outcome == callerv1.Outcome_OUTCOME_PARTIAL && float64(r.Answered) < q.MinCoverage*float64(r.Total) {
		t.Fatalf("partial reply below the least coverage of %f", q.MinCoverage)
	}
}

// checkLoad finds calls that exceed the budgets or break the rules for non-idempotent requests and for suspects.
func checkLoad(t *rapid.T, f *fake, q planner.Query) {
	perShard := make(map[uint32]int)
	var hedges, retries int
	for _, c := range f.records {
		if c.received {
			perShard[c.call.Shard]++
		}
		switch c.call.Kind {
		case planner.Hedge:
			hedges++
		case planner.Retry:
			retries++
		case planner.Primary, planner.Resend:
		}
		if q.NonIdempotent && (c.call.Kind == planner.Hedge || perShard[c.call.Shard] > 1) {
			t.Fatalf("shard %d of a request with a key was called more than once", c.call.Shard)
		}
	}
	if hedges > f.hedges || retries > f.retries {
		t.Fatalf("%d hedges of %d, %d retries of %d", hedges, f.hedges, retries, f.retries)
	}
	checkCanary(t, f, q)
}

// checkCanary finds calls that were sent during or after a canary that crashed a server.
func checkCanary(t *rapid.T, f *fake, q planner.Query) {
	crashed := 0
	for _, c := range f.suspects {
		if c.Canary {
			crashed++
		}
	}
	if crashed == 0 {
		return
	}
	for _, c := range f.records {
		if !c.call.Canary {
			t.Fatalf("%s was sent although a canary crashed a server", c.call.Attempt)
		}
	}
	if crashed > 2 || (q.Exclusive && crashed > 1) {
		t.Fatalf("a canary crashed %d servers", crashed)
	}
}
