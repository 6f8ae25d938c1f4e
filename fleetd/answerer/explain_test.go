package answerer_test

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	tally "github.com/uber-go/tally/v4"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/fleetd/follower"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/drainer"
	"lycheelift.example/lib/router"
)

// dump writes a value with all unexported fields and everything that it points to, except functions.
func dump(out *strings.Builder, v reflect.Value) {
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

// countingTracker counts the reports of suspects.
type countingTracker struct {
	blocked time.Duration
	reports atomic.Int64
}

func (c *countingTracker) Blocked(*carrier.Request, time.Time) time.Duration { return c.blocked }
func (c *countingTracker) ReportLost(*carrier.Request, time.Time)            { c.reports.Add(1) }
func (c *countingTracker) ReportAnswered(*carrier.Request, time.Time)        { c.reports.Add(1) }

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

// Guards against explanations that change the statistics of leaves or hosts, budgets, estimates, cold slots, suspects or
// metrics, that create or evict entries, that open connections, and that send anything to a leaf or a host.
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
			passive := &passiveHelpers{helpers: h}
			tracker, scope := &countingTracker{}, tally.NewTestScope("", nil)
			options := []answerer.Option{answerer.WithSuspects(tracker), answerer.WithScope(scope), answerer.WithRandom(func() float64 {
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
				ask(a, "/all/2f")
			}
			passive.passive.Store(true)
			before, calls, counted, gathered := state(a, tracker), f.called(), counters(scope), fmt.Sprint(h.requests)
			for _, path := range []string{"/all/2f", "/one/1", "/once/1", "/none"} {
				for range 5 {
					out := a.Explain(request(path, "k"))
					qt.Assert(t, out.Route == nil, qt.Equals, path == "/none")
					qt.Assert(t, len(out.Portions) > 0, qt.Equals, divided && path == "/all/2f")
				}
			}
			qt.Assert(t, state(a, tracker), qt.Equals, before)
			qt.Assert(t, counters(scope), qt.DeepEquals, counted)
			qt.Assert(t, f.called(), qt.Equals, calls)
			qt.Assert(t, fmt.Sprint(h.requests), qt.Equals, gathered)
			qt.Assert(t, passive.used.Load(), qt.Equals, int64(0))
			// The comparison must notice a request.
			passive.passive.Store(false)
			ask(a, "/one/1")
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
		{"quota", "/one/1", "k", func(_ *fleet, _ *countingTracker, _ *drainer.Schedule, _ *atomic.Bool, p *answerer.Preview) {
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
