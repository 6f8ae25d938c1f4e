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

// Guards against a request that crashes servers crashing more than two when its caller resends it to other hosts, and
// against innocent requests in flight beside it being refused for good.
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
						d.ask(host, &callerv1.QueryRequest{Body: []byte(body)})
					}
				}
			})
		}
	}
	time.Sleep(20 * time.Millisecond)
	for i := range 9 {
		_, refused := d.ask(i%3, &callerv1.QueryRequest{Body: []byte(harmful)})
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
			out, refused := d.ask(host, &callerv1.QueryRequest{Body: []byte(body), Least: 1})
			qt.Assert(t, out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE, qt.Commentf("%v", refused))
		}
	}
}

// Guards against calls to a data centre that is out, also when its replica is the nearest.
func TestDataCentreThatIsOutGetsNoCalls(t *testing.T) {
	services := map[string]any{"desk": map[string]any{}}
	d := deploy(t, 3, services)
	for range 20 {
		d.ask(0, &callerv1.QueryRequest{})
	}
	qt.Assert(t, slices.Contains(d.fleet.takeOwners(), "host-a"), qt.IsTrue)
	d.configure(t, 2, services, []string{"a"})
	for range 20 {
		out, _ := d.ask(0, &callerv1.QueryRequest{Least: 1})
		qt.Assert(t, out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	}
	qt.Assert(t, slices.Contains(d.fleet.takeOwners(), "host-a"), qt.IsFalse)
}

// Guards against queries beyond the host's limit, and against a refusal that does not say so.
func TestQueriesAboveTheLimitAreNotRun(t *testing.T) {
	d := deploy(t, 1, map[string]any{"desk": map[string]any{}}, acceptor.WithQueries(1))
	d.ask(0, &callerv1.QueryRequest{})
	d.fleet.slow(200 * time.Millisecond)
	var wait sync.WaitGroup
	wait.Go(func() { d.ask(0, &callerv1.QueryRequest{}) })
	time.Sleep(50 * time.Millisecond)
	_, refused := d.ask(0, &callerv1.QueryRequest{})
	qt.Assert(t, refused.GetReason(), qt.Equals, callerv1.Reason_REASON_OVERLOADED)
	qt.Assert(t, refused.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
	wait.Wait()
}

// Guards against a tenant asking a service that lists its tenants without it.
func TestUnlistedTenantIsRefused(t *testing.T) {
	d := deploy(t, 1, map[string]any{"desk": map[string]any{"tenants": map[string]any{"clerk": map[string]any{}}}})
	_, refused := d.ask(0, &callerv1.QueryRequest{Tenant: "rival"})
	qt.Assert(t, refused.GetReason(), qt.Equals, callerv1.Reason_REASON_FORBIDDEN)
	out, _ := d.ask(0, &callerv1.QueryRequest{Tenant: "clerk"})
	qt.Assert(t, out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
}

// Guards against traces from a running host that do not replay, and against traces of whole answers.
func TestTraceOfFailedQueryReplays(t *testing.T) {
	folder := t.TempDir()
	d := deploy(t, 3, map[string]any{"desk": map[string]any{}}, acceptor.WithTraces(folder))
	d.ask(0, &callerv1.QueryRequest{Body: []byte("name=Lotca")})
	d.ask(0, &callerv1.QueryRequest{Body: []byte(harmful)})
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
