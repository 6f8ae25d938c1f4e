package acceptor_test

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/entryd/acceptor"
	"lycheelift.example/lib/tracer"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// Guards against a harmful request that its caller resends to other hosts crashing more than two servers, and against
// harmless requests that were in flight on the same servers staying blocked.
func TestHarmfulRequestCrashesAtMostTwoServers(t *testing.T) {
	d := deploy(t, 4, map[string]any{"desk": map[string]any{}})
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for host := range d.hosts {
		for _, body := range []string{"name=Lotca", "name=Sirena"} {
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						d.query(host, &callerv1.QueryRequest{Body: []byte(body)})
					}
				}
			})
		}
	}
	time.Sleep(20 * time.Millisecond)
	for i := range 9 {
		_, refused := d.query(i%3, &callerv1.QueryRequest{Body: []byte(harmful)})
		qt.Assert(t, refused, qt.IsNotNil)
		if i >= 2 {
			qt.Assert(t, refused.GetReason(), qt.Equals, callerv1.Reason_REASON_QUARANTINED)
			qt.Assert(t, refused.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
		}
	}
	close(stop)
	wait.Wait()
	qt.Assert(t, d.fleet.crashes(), qt.Equals, 2)
	for host := range d.hosts {
		for _, body := range []string{"name=Lotca", "name=Sirena"} {
			out, refused := d.query(host, &callerv1.QueryRequest{Body: []byte(body), Least: 1})
			qt.Assert(t, out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE, qt.Commentf("%v", refused))
		}
	}
}

// Guards against calls to a data centre that is taken out of service, even when it has the nearest replica.
func TestDataCentreThatIsOutGetsNoCalls(t *testing.T) {
	services := map[string]any{"desk": map[string]any{}}
	d := deploy(t, 3, services)
	for range 20 {
		d.query(0, &callerv1.QueryRequest{})
	}
	qt.Assert(t, slices.Contains(d.fleet.takeOwners(), "host-a"), qt.IsTrue)
	d.configure(t, 2, services, []string{"a"})
	for range 20 {
		out, _ := d.query(0, &callerv1.QueryRequest{Least: 1})
		qt.Assert(t, out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	}
	qt.Assert(t, slices.Contains(d.fleet.takeOwners(), "host-a"), qt.IsFalse)
}

// Guards against running more queries than the host's limit, and against a refusal that gives another reason.
func TestQueriesAboveTheLimitAreNotRun(t *testing.T) {
	d := deploy(t, 1, map[string]any{"desk": map[string]any{}}, acceptor.WithMaxConcurrentQueries(1))
	d.query(0, &callerv1.QueryRequest{})
	d.fleet.setLatency(200 * time.Millisecond)
	var wait sync.WaitGroup
	wait.Go(func() { d.query(0, &callerv1.QueryRequest{}) })
	time.Sleep(50 * time.Millisecond)
	_, refused := d.query(0, &callerv1.QueryRequest{})
	qt.Assert(t, refused.GetReason(), qt.Equals, callerv1.Reason_REASON_OVERLOADED)
	qt.Assert(t, refused.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
	wait.Wait()
}

// Guards against a tenant querying a service whose list of tenants does not contain it.
func TestUnlistedTenantIsRefused(t *testing.T) {
	d := deploy(t, 1, map[string]any{"desk": map[string]any{"tenants": map[string]any{"clerk": map[string]any{}}}})
	_, refused := d.query(0, &callerv1.QueryRequest{Tenant: "rival"})
	qt.Assert(t, refused.GetReason(), qt.Equals, callerv1.Reason_REASON_FORBIDDEN)
	out, _ := d.query(0, &callerv1.QueryRequest{Tenant: "clerk"})
	qt.Assert(t, out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
}

// Guards against traces written by a running host that cannot be replayed, and against traces of complete answers.
func TestTraceOfFailedQueryReplays(t *testing.T) {
	folder := t.TempDir()
	d := deploy(t, 3, map[string]any{"desk": map[string]any{}}, acceptor.WithTraces(folder))
	d.query(0, &callerv1.QueryRequest{Body: []byte("name=Lotca")})
	d.query(0, &callerv1.QueryRequest{Body: []byte(harmful)})
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 1)
	file, err := os.Open(files[0])
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = file.Close() }()
	out, err := tracer.Replay(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.Reply.GetReason(), qt.Equals, callerv1.Reason_REASON_CRASHED)
}
