package answerer_test

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	tally "github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/fleetd/acquirer"
	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/follower"
	"lycheelift.example/fleetd/suspector"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/roller"
	"lycheelift.example/lib/router"
)

// dump writes a value with all unexported fields and everything that it points to, except functions.
func dump(out *strings.Builder, v reflect.Value) {
	if v.Type().Implements(reflect.TypeFor[proto.Message]()) {
		fmt.Fprintln(out, v.Pointer()) // Messages are replaced, not changed.
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() || v.Type() == reflect.TypeFor[*time.Location]() {
			return
		}
		dump(out, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			dump(out, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(out, v.Index(i))
		}
		fmt.Fprintf(out, "#%d\n", v.Len())
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			fmt.Fprintf(out, "%v:", key)
			dump(out, v.MapIndex(key))
		}
		fmt.Fprintf(out, "#%d\n", len(keys))
	case reflect.Func, reflect.Chan:
	default:
		fmt.Fprintln(out, v)
	}
}

// state returns the complete state of a host as text.
func state(a *answerer.Answerer, tracker *countingTracker) string {
	var out strings.Builder
	dump(&out, reflect.ValueOf(a.State()))
	fmt.Fprintln(&out, tracker.reports.Load())
	return out.String()
}

// countingTracker counts the reports of suspects and the requests that ask whether they may run.
type countingTracker struct {
	blocked time.Duration
	reports atomic.Int64
	begun   atomic.Int64
	// tracker is asked as well, unless it is nil.
	tracker *suspector.Suspector
}

func (c *countingTracker) Blocked(r *carrier.Request, now time.Time) time.Duration {
	if c.tracker != nil {
		return c.tracker.Blocked(r, now)
	}
	return c.blocked
}

func (c *countingTracker) Begin(ctx context.Context, r *carrier.Request, deadline, now time.Time) (func(time.Time), time.Duration) {
	c.begun.Add(1)
	if c.tracker != nil {
		return c.tracker.Begin(ctx, r, deadline, now)
	}
	return nil, 0
}

func (c *countingTracker) ReportLost(*carrier.Request, time.Time) <-chan struct{} {
	c.reports.Add(1)
	return closedChannel()
}

func (c *countingTracker) ReportAnswered(*carrier.Request, time.Time) { c.reports.Add(1) }

// passiveHelpers counts the connections that are opened while it is passive.
type passiveHelpers struct {
	*helpers
	passive atomic.Bool
	used    atomic.Int64
}

func (p *passiveHelpers) Usable(host string) bool {
	if p.passive.Load() {
		p.used.Add(1)
	}
	return p.helpers.Usable(host)
}

// counters returns the metrics that count something, by name.
func counters(scope tally.TestScope) map[string]int64 {
	out := make(map[string]int64)
	for name, c := range scope.Snapshot().Counters() {
		out[name] = c.Value()
	}
	return out
}

// Guards against explanations that change the statistics of leaves or hosts, budgets, estimates, cold slots, the number of hosts
// that share them, suspects, their trials, quotas, the counts of rollouts or metrics, that create or evict entries, that open
// connections, and that send anything to a leaf or a host.
func TestExplainChangesNothing(t *testing.T) {
	for _, divided := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			f, _, h := newHelpers()
			document := *f.view.Table.Document()
			document.Services[0].ColdRate = 1
			f.view.Table = router.NewTable(&document)
			for _, l := range f.view.Holders["s0"] {
				l.ColdUntil = time.Now().Add(time.Hour)
			}
			for i, b := range []behaviour{sheds, breaks, refuses, hangs} {
				f.leaves[fmt.Sprintf("s%da", i+1)] = b
			}
			f.leaves["s6a"] = f.reportsSlowness("s6a", 3)
			f.roll(100)
			f.view.LastLeaderContact = time.Now().Add(time.Hour)
			f.withQuotas()
			passive := &passiveHelpers{helpers: h}
			tracker, scope := &countingTracker{tracker: suspector.New()}, tally.NewTestScope("", nil)
			tracker.tracker.ReportLost(request("/one/1", "k2"), time.Now())
			counts := roller.NewTally("host", 1)
			counts.Update(f.view.Rollouts, time.Now())
			quotas := acquirer.New(func() string { return "" }, time.Now, acquirer.WithScope(scope))
			options := []answerer.Option{answerer.WithSuspects(tracker), answerer.WithScope(scope), answerer.WithTally(counts), answerer.WithQuotas(quotas), answerer.WithPreview(answerer.Preview{
				Quota: answerer.PreviewQuota(quotas),
			}), answerer.WithRandom(func() float64 {
				if passive.passive.Load() {
					t.Error("a random number was used")
				}
				return 0
			})}
			if divided {
				options = append(options, answerer.WithHelpers("self", 9, 3, passive))
			}
			a := answerer.New("host", "a", f, f, answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Cold: 1, ColdSlack: 1}, time.Now, options...)
			for range 20 {
				askWithKey(a, "/all/2f", "k2")
			}
			askWithKey(a, "/one/1", "k2")
			askWithKey(a, "/one/1", "k1")
			time.Sleep(15 * time.Second) // A further observation would begin a new period of the number of hosts.
			synctest.Wait()
			passive.passive.Store(true)
			before, calls, counted, gathered := state(a, tracker), f.called(), counters(scope), fmt.Sprint(h.requests)
			for _, path := range []string{"/all/2f", "/one/1", "/once/1", "/none"} {
				for range 5 {
					out := a.Explain(request(path, "k2"))
					qt.Assert(t, out.Route == nil, qt.Equals, path == "/none")
					qt.Assert(t, len(out.Portions) > 0, qt.Equals, divided && path == "/all/2f")
					qt.Assert(t, len(out.Shards) == 1 && out.Shards[0].Trial != nil, qt.Equals, path == "/one/1" || path == "/once/1")
					qt.Assert(t, a.Explain(request(path, "k1")).Quota != nil, qt.Equals, path != "/none")
				}
			}
			qt.Assert(t, state(a, tracker), qt.Equals, before)
			qt.Assert(t, counters(scope), qt.DeepEquals, counted)
			qt.Assert(t, f.called(), qt.Equals, calls)
			qt.Assert(t, fmt.Sprint(h.requests), qt.Equals, gathered)
			qt.Assert(t, passive.used.Load(), qt.Equals, int64(0))
			// The comparison must notice a request.
			passive.passive.Store(false)
			askWithKey(a, "/one/1", "k2")
			qt.Assert(t, state(a, tracker), qt.Not(qt.Equals), before)
		})
	}
}

// Guards against an explanation that names another leaf or another host than the request then gets.
func TestExplainNamesTheChoice(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(10)
		f.leaves["s1a"], f.leaves["s2a"], f.leaves["s3a"] = sheds, refuses, f.answers("s3a", 50*time.Millisecond)
		for _, name := range []string{"s4a", "s4b", "s4c", "s5a", "s5b", "s5c"} {
			f.leaves[name] = refuses
		}
		a := f.answerer()
		var omitted, forced int
		for range 30 {
			out := a.Explain(request("/all/2f", ""))
			first := f.called()
			ask(a, "/all/2f")
			for _, s := range out.Shards {
				primary := slices.IndexFunc(f.calls[first:], func(c *carrier.Call) bool { return strings.HasPrefix(c.Leaf, s.Service) })
				qt.Assert(t, primary >= 0, qt.Equals, s.Choice >= 0, qt.Commentf(s.Service))
				if s.Choice < 0 {
					omitted++
					continue
				}
				chosen := s.Candidates[s.Choice]
				qt.Assert(t, f.calls[first+primary].Leaf, qt.Equals, chosen.Leaf.Name)
				if s.Forced {
					forced++
					qt.Assert(t, chosen.BackingOff, qt.IsTrue)
				}
				if s.Runner >= 0 {
					qt.Assert(t, s.Candidates[s.Runner].Cost >= chosen.Cost, qt.IsTrue)
				}
			}
		}
		qt.Assert(t, omitted > 0 && forced > 0, qt.IsTrue)
	})
	inBubble(t, func(t *testing.T) {
		_, a, h := newHelpers()
		for range 10 {
			out := a.Explain(request("/all/2f", ""))
			before := make(map[string]int)
			for host, n := range h.requests {
				before[host] = n
			}
			ask(a, "/all/2f")
			for _, p := range out.Portions {
				if !p.Local {
					before[p.Host]++
				}
			}
			qt.Assert(t, h.requests, qt.DeepEquals, before)
		}
	})
}

// Guards against an explanation that differs from the reply to the same request, and against checks in another order than
// the host's.
func TestExplainNamesTheRejection(t *testing.T) {
	rejection := func(reason string) *carrier.Reply {
		return &carrier.Reply{Outcome: carrier.OverQuota, RetryAfter: time.Second, Reason: reason}
	}
	for _, c := range []struct {
		check, path, key string
		change           func(f *fleet, tracker *countingTracker, stop *drainer.Schedule, confirmed *atomic.Bool, p *answerer.Preview)
	}{
		{"configuration", "/one/1", "k", func(f *fleet, _ *countingTracker, _ *drainer.Schedule, _ *atomic.Bool, _ *answerer.Preview) {
			f.later.Store(&follower.View{Entries: 1})
		}},
		{"route", "/none", "k", nil},
		{"key", "/one/1", "x", nil},
		{"key", "/one/1", "", nil},
		{"confirmation", "/one/1", "k", func(_ *fleet, _ *countingTracker, _ *drainer.Schedule, confirmed *atomic.Bool, _ *answerer.Preview) {
			confirmed.Store(false)
		}},
		{"stop", "/one/1", "k", func(_ *fleet, _ *countingTracker, stop *drainer.Schedule, _ *atomic.Bool, p *answerer.Preview) {
			stop.Noticed, stop.End = time.Now(), time.Now()
			p.Quota = nil
		}},
		{"suspect", "/one/1", "k", func(_ *fleet, tracker *countingTracker, _ *drainer.Schedule, _ *atomic.Bool, _ *answerer.Preview) {
			tracker.blocked = time.Minute
		}},
		{"leaves", "/one/1", "k", func(f *fleet, _ *countingTracker, _ *drainer.Schedule, _ *atomic.Bool, _ *answerer.Preview) {
			f.keepOnly("s0")
		}},
		{"", "/one/1", "k", nil},
		{"quota", "/one/1", "k", func(f *fleet, _ *countingTracker, _ *drainer.Schedule, _ *atomic.Bool, p *answerer.Preview) {
			view := *f.View()
			document := *view.Table.Document()
			document.Tenants[0].Rate = 1 // The check applies only to tenants that have a quota.
			view.Table = router.NewTable(&document)
			f.later.Store(&view)
			p.Quota = func(*router.Tenant, time.Time) (answerer.QuotaState, *carrier.Reply) {
				return answerer.QuotaState{Stock: 0.5}, rejection("quota")
			}
		}},
		{"admission", "/one/1", "k", func(_ *fleet, _ *countingTracker, _ *drainer.Schedule, _ *atomic.Bool, p *answerer.Preview) {
			p.Admission = func(*carrier.Request, *router.Route, int, time.Time) *carrier.Reply { return rejection("admission") }
		}},
	} {
		inBubble(t, func(t *testing.T) {
			f, tracker, preview := newFleet(1), &countingTracker{}, answerer.Preview{}
			stop := &drainer.Schedule{Noticed: time.Now().Add(time.Hour), End: time.Now().Add(time.Hour)}
			f.later.Store(f.withTenants(4, false, map[string][]string{"acme": {"k"}}))
			var confirmed atomic.Bool
			confirmed.Store(true)
			if c.change != nil {
				c.change(f, tracker, stop, &confirmed, &preview)
			}
			a := answerer.New("host", "a", f, f, answerer.Bounds{Window: time.Second}, time.Now, answerer.WithRandom(func() float64 { return 0 }),
				answerer.WithSuspects(tracker), answerer.WithConfirmation(confirmed.Load), answerer.WithPreview(preview),
				answerer.WithStopSchedule(func() *drainer.Schedule { return stop }))
			r := request(c.path, c.key)
			out := a.Explain(r)
			qt.Assert(t, out.Check, qt.Equals, c.check)
			qt.Assert(t, r.Key, qt.Equals, "")
			qt.Assert(t, out.StopsAt, qt.Equals, stop.End)
			switch c.check {
			case "":
				qt.Assert(t, out.Rejection, qt.IsNil)
				qt.Assert(t, out.Tenant.Name, qt.Equals, "acme")
			case "quota", "admission":
				// Answer has no such check of its own; the previews stand for it.
				qt.Assert(t, out.Rejection.Reason, qt.Equals, c.check)
				qt.Assert(t, out.Quota != nil, qt.Equals, c.check == "quota")
			default:
				qt.Assert(t, out.Rejection, qt.DeepEquals, a.Answer(t.Context(), request(c.path, c.key)))
			}
		})
	}
}

// reportsSlowness returns a leaf that reports the slowness of its host with its answers.
func (f *fleet) reportsSlowness(name string, slowness float64) behaviour {
	answers := f.answers(name, typical)
	return func(ctx context.Context, c *carrier.Call) (*carrier.Answer, error) {
		a, err := answers(ctx, c)
		if a != nil {
			a.Load = &carrier.Load{Running: 1, Slowness: slowness}
		}
		return a, err
	}
}

// Guards against an explanation that names the wrong group of leaves during a rollout, or a share that is not in force.
func TestExplainFollowsRollouts(t *testing.T) {
	for _, c := range []struct {
		name        string
		share       uint32
		stale       bool
		drawn       float64
		group       answerer.Group
		trial, sent bool
	}{
		{name: "not moved", share: 100, drawn: 0.5, group: answerer.Stable, trial: true},
		{name: "moved", share: 100, drawn: 0.05, group: answerer.Stable, trial: true, sent: true},
		{name: "no share", group: answerer.Stable},
		{name: "full share", share: roller.FullShare, drawn: 0.9, group: answerer.Trial, sent: true},
		{name: "no contact", share: roller.FullShare, stale: true, group: answerer.Stable},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(1)
				f.roll(c.share)
				f.view.Rollouts["s0"].Baseline = "v1"
				for _, l := range f.view.Holders["s0"] {
					l.Program = "v1"
				}
				if c.stale {
					f.view.LastLeaderContact = time.Now().Add(-roller.FreshTimeout)
				}
				a, _ := f.counting(c.drawn)
				s := a.Explain(request("/one/1", "")).Shards[0]
				qt.Check(t, s.Group, qt.Equals, c.group)
				qt.Check(t, s.Rollout.Suspended, qt.Equals, c.stale)
				qt.Check(t, s.Rollout.Share, qt.Equals, float64(c.share)/roller.FullShare)
				qt.Assert(t, s.Trial != nil, qt.Equals, c.trial)
				expected := s
				if c.trial && c.sent {
					expected = *s.Trial
				}
				chosen := expected.Candidates[expected.Choice].Leaf
				qt.Check(t, chosen.Program == "v2", qt.Equals, c.sent)
				ask(a, "/one/1")
				qt.Check(t, f.calls[0].Leaf, qt.Equals, chosen.Name)
			})
		})
	}
}

// Guards against an explanation that differs from the reply when no coordinator of quotas can be asked, and against one that
// rejects a request on which the coordinator decides.
func TestExplainOfQuotas(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f, control := newFleet(1).withQuotas(), ""
		var others []string
		quotas := acquirer.New(func() string { return control }, time.Now, acquirer.WithOthers(func() []string { return others }))
		a := answerer.New("host", "a", f, f, answerer.Bounds{Window: time.Second}, time.Now, answerer.WithQuotas(quotas),
			answerer.WithPreview(answerer.Preview{Quota: answerer.PreviewQuota(quotas)}))
		out := a.Explain(request("/one/1", "k1"))
		qt.Check(t, out.Check, qt.Equals, "quota")
		qt.Check(t, out.Rejection, qt.DeepEquals, askWithKey(a, "/one/1", "k1"))
		out = a.Explain(request("/one/1", "k2"))
		qt.Check(t, out.Rejection, qt.IsNil)
		qt.Check(t, out.Quota, qt.IsNil)
		for control, others = range map[string][]string{"10.0.0.1:1": nil, "": {"10.0.0.1:1"}} {
			out = a.Explain(request("/one/1", "k1"))
			qt.Check(t, out.Rejection, qt.IsNil)
			qt.Check(t, out.Quota.Stock, qt.Equals, 0.0)
		}
	})
}
