package answerer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/router"
)

// overloaded answers shortly before the deadline of the tests' routes, and reports a queue that explains it.
func (f *fleet) overloaded(name string) behaviour {
	answers := f.answers(name, timeout-50*time.Millisecond)
	return func(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
		answer, err := answers(ctx, c)
		if answer != nil {
			answer.Load = &carrier.Load{Running: 2, Waiting: 40, Slots: 2}
		}
		return answer, err
	}
}

// overload makes all leaves of a fleet report a long queue to an answerer.
func (f *fleet) overload(a *answerer.Answerer) {
	for name := range f.leaves {
		f.leaves[name] = f.overloaded(name)
	}
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			a.Answer(context.Background(), &carrier.Request{
				ID: fmt.Sprint("first", i), Method: "GET", Host: "n", Path: "/one/2f", Target: "/one/2f", Received: time.Now(), Timeout: 6 * time.Second,
			})
		})
	}
	all.Wait()
	synctest.Wait()
}

func (f *fleet) admitting(always bool, options ...answerer.Option) *answerer.Answerer {
	options = append([]answerer.Option{answerer.WithRandom(func() float64 { return 0 }), answerer.WithAdmission(always)}, options...)
	return answerer.New("host", "a", f, f, answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, time.Now, options...)
}

// Guards against leaf calls of a rejected request, a rejection without a time to return, and one that is not counted;
// against rejections that go on once nothing recent is known of the leaves.
func TestRequestBeyondCapacityIsRejectedBeforeAnyCall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		scope := tally.NewTestScope("", nil)
		a := f.admitting(true, answerer.WithScope(scope))
		f.overload(a)
		for _, path := range []string{"/one/2f", "/once/2f", "/all/2f"} {
			sent, began := f.called(), time.Now()
			const patience = 500 * time.Millisecond
			reply := a.Answer(context.Background(), &carrier.Request{
				ID: path, Method: "GET", Host: "n", Path: path, Target: path, Received: began, Timeout: patience,
			})
			qt.Assert(t, reply.Outcome, qt.Equals, carrier.Refused, qt.Commentf("%s: %s", path, reply.Reason))
			qt.Assert(t, reply.RetryAfter > 0 && reply.RetryAfter <= patience, qt.IsTrue)
			qt.Assert(t, time.Since(began) <= target/4, qt.IsTrue)
			qt.Assert(t, f.called(), qt.Equals, sent)
		}
		qt.Assert(t, scope.Snapshot().Counters()["rejected_requests+limit=slots,priority=0,route=one,tenant="].Value(), qt.Equals, int64(1))
		time.Sleep(time.Second)
		reply, _ := ask(a, "/one/2f")
		qt.Assert(t, reply.Outcome, qt.Equals, carrier.Answered)
	})
}

// Guards against a changed behaviour of deployments that do not ask for admission control, and against none where the
// configuration has tenants.
func TestAdmissionControlIsInForceWithTenants(t *testing.T) {
	for _, authenticated := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1)
			document := *f.view.Table.Document()
			document.Authenticated = authenticated
			document.Routes = slices.Clone(document.Routes)
			for i := range document.Routes {
				document.Routes[i].Public = true
			}
			f.view.Table = router.NewTable(&document)
			a := f.admitting(false)
			f.overload(a)
			reply := a.Answer(context.Background(), &carrier.Request{
				ID: "late", Method: "GET", Host: "n", Path: "/one/2f", Target: "/one/2f", Received: time.Now(), Timeout: timeout / 3,
			})
			qt.Assert(t, reply.Outcome == carrier.Refused, qt.Equals, authenticated, qt.Commentf(reply.Reason))
			synctest.Wait()
		})
	}
}

// Guards against requests that fail for lack of connections although they could wait for one, and against a place that is
// kept for a caller who has left. A request that waits while the host stops has not run.
func TestRequestsWaitForAConnection(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		document := *f.view.Table.Document()
		document.Services = []router.Service{{Name: "s0", Connections: 1}}
		f.view.Table = router.NewTable(&document)
		a := f.admitting(true)
		for range 10 {
			ask(a, "/one/2f")
		}
		const connections = 8 // Four to the leaf of the same data centre, two to each other one.
		outcomes := make(map[carrier.Outcome]int)
		var mu sync.Mutex
		before := f.called()
		for i := range connections + 3 {
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				reply := a.Answer(ctx, &carrier.Request{
					ID: fmt.Sprint("r", i), Method: "GET", Host: "n", Path: "/one/2f", Target: "/one/2f", Received: time.Now(), Timeout: 6 * time.Second,
				})
				mu.Lock()
				defer mu.Unlock()
				outcomes[reply.Outcome]++
			}()
			synctest.Wait()
			switch i {
			case connections:
				cancel(nil)
			case connections + 1:
				cancel(drainer.ErrStopping)
			}
			synctest.Wait()
			defer cancel(nil)
		}
		qt.Assert(t, f.called()-before, qt.Equals, connections)
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, outcomes, qt.DeepEquals, map[carrier.Outcome]int{carrier.Answered: connections + 1, carrier.Abandoned: 1, carrier.Refused: 1})
	})
}

// Load: hosts that gather portions expect answers long after the target. Guards against a host that admits every divided
// query because it calls none of the leaves itself, and against one that goes on rejecting when the load is over.
func TestDividedQueriesAreThinnedOut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f, _, h := newHelpers()
		expected := 20 * target
		h.replaceAll(func(_ context.Context, p *answerer.Portion, emit func(*answerer.Parts)) error {
			time.Sleep(typical)
			emit(&answerer.Parts{Stamps: p.Services, Final: true, Expected: expected})
			return nil
		})
		a := f.admitting(true, answerer.WithHelpers("self", 9, 3, h), answerer.WithRandom(func() float64 { return 0.9 }))
		for range 2 {
			reply, _ := ask(a, "/all/2f")
			qt.Assert(t, reply.Outcome, qt.Equals, carrier.Gathered)
		}
		reply, took := ask(a, "/all/2f")
		qt.Assert(t, reply.Outcome, qt.Equals, carrier.Refused)
		qt.Assert(t, reply.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, took, qt.Equals, time.Duration(0))
		expected = 0
		time.Sleep(15 * time.Second)
		reply, _ = ask(a, "/all/2f")
		qt.Assert(t, reply.Outcome, qt.Equals, carrier.Gathered)
	})
}

// Guards against a gathering host that does not tell the others of its leaves' queue, and against one that rejects a portion.
func TestGatheringHostTellsOfTheQueue(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1)
		a := f.admitting(true)
		f.overload(a)
		now := time.Now()
		var emitted []*answerer.Parts
		a.Gather(context.Background(), &answerer.Portion{
			Request: &carrier.Request{ID: "p", Received: now}, Route: "all", RouteTarget: target, Services: []string{"s0"}, Top: 3, Attempts: 2,
			SoftDeadline: now.Add(target), Deadline: now.Add(2 * timeout),
		}, func(p *answerer.Parts) { emitted = append(emitted, p) })
		qt.Assert(t, emitted[len(emitted)-1].Stamps, qt.HasLen, 1)
		qt.Assert(t, emitted[0].Expected > target, qt.IsTrue, qt.Commentf("%s", emitted[0].Expected))
	})
}
