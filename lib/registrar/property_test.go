package registrar_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lycheelift.example/lib/registrar"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var soak = flag.Bool("soak", false, "run with random seeds and more cases")

// TestMain sets a fixed seed for the property tests unless -soak is given.
func TestMain(m *testing.M) {
	flag.Parse()
	values := map[string]string{"rapid.seed": "5002"}
	if *soak {
		values = map[string]string{"rapid.checks": "20000"}
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// history records the attempts on one key: the attempt that ran, and those that freed the key because they had not sent
// the request.
type history struct {
	ran    string
	unsent map[string]bool
}

// Guards against two runs of one key under any order of Begin and Finish commands and their duplicates, the passing of
// time, and snapshot and restore at any point. An attempt that reported "unsent" never ran, so its permission does not
// count.
func TestOneRunForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := registrar.New(registrar.WithBytes(rapid.SampledFrom([]int{20_000, 1 << 20}).Draw(t, "bytes")))
		now := start
		keys := make(map[string]*history)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			attempt := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "attempt"))
			h, ok := keys[key]
			if !ok {
				h = &history{unsent: make(map[string]bool)}
				keys[key] = h
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				h.begin(t, l, key, attempt, now)
			case 4, 5:
				l.Finish(finish(key, attempt, false), now)
			case 6:
				// An attempt reports "unsent" only if it has not run.
				if h.ran != attempt {
					l.Finish(finish(key, attempt, true), now)
					h.unsent[attempt] = true
				}
			case 7:
				now = now.Add(time.Duration(rapid.IntRange(0, 8*3600).Draw(t, "seconds")) * time.Second)
			case 8:
				l = reload(t, l)
			}
		}
	})
}

func (h *history) begin(t *rapid.T, l *registrar.Ledger, key, attempt string, now time.Time) {
	r := l.Begin(begin(key, attempt, start), now)
	if !r.GetRun() {
		if r.GetEntry().GetPhase() == statev1.Phase_PHASE_FINISHED {
			assert(t, r.GetEntry().GetResponse().GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
		}
		return
	}
	assert(t, now.Before(start.Add(registrar.Window)), qt.IsTrue)
	if h.unsent[attempt] {
		return // The attempt has ended, so nobody uses the permission.
	}
	assert(t, h.ran == "" || h.ran == attempt, qt.IsTrue)
	h.ran = attempt
}

func reload(t *rapid.T, l *registrar.Ledger) *registrar.Ledger {
	state := &statev1.State{}
	l.Save(state)
	data, err := proto.Marshal(state)
	assert(t, err, qt.IsNil)
	state = &statev1.State{}
	assert(t, proto.Unmarshal(data, state), qt.IsNil)
	out := registrar.New()
	assert(t, out.Load(state), qt.IsNil)
	return out
}

// assert is the equivalent of qt.Assert for rapid.T, which is not a testing.TB.
func assert(t *rapid.T, got any, c qt.Checker, args ...any) {
	t.Helper()
	if err := c.Check(got, args, func(string, any) {}); err != nil {
		t.Fatalf("%v: got %v, want %v", err, got, args)
	}
}
