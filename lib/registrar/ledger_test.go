package registrar_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/registrar"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var start = time.Unix(1_700_000_000, 0)

func begin(key, attempt string, issued time.Time) *statev1.Begin {
	return &statev1.Begin{Tenant: "port", Key: key, Attempt: attempt, Issued: timestamppb.New(issued), Fingerprint: 1}
}

func finish(key, attempt string, unsent bool) *statev1.Finish {
	r := &callerv1.QueryResponse{Outcome: callerv1.Outcome_OUTCOME_WHOLE, Host: attempt}
	return &statev1.Finish{Tenant: "port", Key: key, Attempt: attempt, Response: r, Unsent: unsent}
}

// Guards against granting permission to run outside the window, for which the ledger has no outcomes.
func TestWindow(t *testing.T) {
	cases := []struct {
		offset time.Duration
		want   callerv1.Reason
	}{
		{-registrar.Window, callerv1.Reason_REASON_KEY_EXPIRED},
		{-registrar.Window + 1, callerv1.Reason_REASON_UNSPECIFIED},
		{registrar.Skew, callerv1.Reason_REASON_UNSPECIFIED},
		{registrar.Skew + 1, callerv1.Reason_REASON_KEY_EARLY},
	}
	for _, c := range cases {
		r := registrar.New().Begin(begin("k", "a", start.Add(c.offset)), start)
		qt.Assert(t, r.GetReason(), qt.Equals, c.want)
		qt.Assert(t, r.GetRun(), qt.Equals, c.want == callerv1.Reason_REASON_UNSPECIFIED)
	}
}

// Guards against a second run of a key, and against a resend that does not get the outcome.
func TestResends(t *testing.T) {
	l := registrar.New()
	qt.Assert(t, l.Begin(begin("k", "a", start), start).GetRun(), qt.IsTrue)
	qt.Assert(t, l.Begin(begin("k", "a", start), start).GetRun(), qt.IsTrue) // The same attempt repeats its Begin.
	other := l.Begin(begin("k", "b", start), start)
	qt.Assert(t, other.GetRun(), qt.IsFalse)
	qt.Assert(t, other.GetEntry().GetPhase(), qt.Equals, statev1.Phase_PHASE_BEGUN)
	qt.Assert(t, l.Finish(finish("k", "b", false), start).GetStored(), qt.IsFalse)
	qt.Assert(t, l.Finish(finish("k", "b", true), start).GetStored(), qt.IsFalse)
	qt.Assert(t, l.Finish(finish("k", "a", false), start).GetStored(), qt.IsTrue)
	qt.Assert(t, l.Finish(finish("k", "a", true), start).GetStored(), qt.IsFalse)
	done := l.Begin(begin("k", "a", start), start)
	qt.Assert(t, done.GetRun(), qt.IsFalse)
	qt.Assert(t, done.GetEntry().GetResponse().GetHost(), qt.Equals, "a")
}

// Guards against the use of one key for two requests.
func TestKeyReusedWithAnotherRequest(t *testing.T) {
	l := registrar.New()
	l.Begin(begin("k", "a", start), start)
	changed := begin("k", "b", start)
	changed.Fingerprint = 2
	qt.Assert(t, l.Begin(changed, start).GetReason(), qt.Equals, callerv1.Reason_REASON_KEY_CONFLICT)
	qt.Assert(t, l.Begin(begin("k", "b", start.Add(1)), start).GetReason(), qt.Equals, callerv1.Reason_REASON_KEY_CONFLICT)
	elsewhere := begin("k", "b", start)
	elsewhere.Tenant = "police"
	qt.Assert(t, l.Begin(elsewhere, start).GetRun(), qt.IsTrue)
}

// Guards against a key that remains held after an attempt that did not send its request, also when its Begin arrives
// after its Finish.
func TestUnsentFreesTheKey(t *testing.T) {
	l := registrar.New()
	l.Begin(begin("k", "a", start), start)
	qt.Assert(t, l.Finish(finish("k", "a", true), start).GetStored(), qt.IsTrue)
	qt.Assert(t, l.Begin(begin("k", "a", start), start).GetReason(), qt.Equals, callerv1.Reason_REASON_CANCELLED)
	qt.Assert(t, l.Begin(begin("k", "b", start), start).GetRun(), qt.IsTrue)
	qt.Assert(t, l.Finish(finish("late", "a", true), start).GetStored(), qt.IsTrue)
	qt.Assert(t, l.Begin(begin("late", "a", start), start).GetRun(), qt.IsFalse)
	qt.Assert(t, l.Begin(begin("late", "b", start), start).GetRun(), qt.IsTrue)
}

// Guards against a ledger that drops a key or rejects an outcome when its memory is used up.
func TestFullLedgerRefusesNewKeys(t *testing.T) {
	l := registrar.New(registrar.WithBytes(100_000))
	refused := 0
	for i := range 40 {
		r := l.Begin(begin(fmt.Sprint(i), "a", start), start)
		if !r.GetRun() {
			qt.Assert(t, r.GetReason(), qt.Equals, callerv1.Reason_REASON_OVERLOADED)
			refused++
			continue
		}
		large := finish(fmt.Sprint(i), "a", false)
		large.Response.Parts = []*callerv1.Part{{Body: make([]byte, 1<<20)}, {Body: make([]byte, 10)}}
		large.Response.Coverage = &callerv1.Coverage{Answered: 7, Total: 9000}
		for shard := range uint32(5000) {
			large.Response.Coverage.Missing = append(large.Response.Coverage.Missing, &callerv1.Missing{Shard: shard})
		}
		if i > 9 {
			large.Response.Parts = []*callerv1.Part{{Body: make([]byte, 8000)}}
			large.Response.Coverage = nil
		}
		qt.Assert(t, l.Finish(large, start).GetStored(), qt.IsTrue)
		qt.Assert(t, l.Size() <= 100_000, qt.IsTrue)
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	kept := l.Begin(begin("0", "b", start), start).GetEntry().GetResponse()
	qt.Assert(t, kept.GetTruncated(), qt.IsTrue)
	qt.Assert(t, kept.GetCoverage().GetAnswered(), qt.Equals, uint32(7))
	later := start.Add(registrar.Window)
	qt.Assert(t, l.Begin(begin("new", "a", later), later).GetRun(), qt.IsTrue)
	qt.Assert(t, l.Len(), qt.Equals, 1)
}

// Guards against a restored ledger that differs from the saved one.
func TestSnapshotsAreEqualAfterRestore(t *testing.T) {
	l := registrar.New()
	for i := range 50 {
		key := fmt.Sprint(i)
		l.Begin(begin(key, "a", start.Add(time.Duration(i%7)*time.Second)), start)
		if i%3 > 0 {
			l.Finish(finish(key, "a", i%3 == 1), start)
		}
	}
	saved, again := &statev1.State{}, &statev1.State{}
	l.Save(saved)
	other := registrar.New()
	qt.Assert(t, other.Load(saved), qt.IsNil)
	other.Save(again)
	qt.Assert(t, proto.Equal(saved, again), qt.IsTrue)
	qt.Assert(t, other.Size(), qt.Equals, l.Size())
}
