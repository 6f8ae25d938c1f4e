package quoter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/quoter"
)

var usual = quoter.NewBounds(5*time.Second, 0.1, 20)

// warm runs the system until the first leader's buckets are full.
func (s *sim) warm() {
	s.run(2*s.bounds.Window, func() {})
}

// conforming returns traffic that stays within a limit in every interval: it draws from a bucket of its own.
func (s *sim) conforming(tenant string, l quoter.Limit, load float64, choose func() *host) func() {
	level, next := l.Burst, s.now
	return func() {
		level = min(max(l.Burst, 1), level+l.Rate*tick.Seconds())
		for level >= 1 && !s.now.Before(next) {
			level--
			s.ask(tenant, choose())
			next = next.Add(time.Duration(s.random.ExpFloat64() * float64(time.Second) / (l.Rate * load)))
		}
	}
}

func (s *sim) anyHost() *host { return s.hosts[s.random.IntN(len(s.hosts))] }

// Guards against rejecting a tenant below its limit in a system without faults: spread over many hosts at one request a second,
// on one host that changes, right at its limit, in bursts, and beside a tenant far above its limit.
func TestNobodyBelowTheLimitIsRejected(t *testing.T) {
	for seed := range seeds(4, 60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			limits := map[string]quoter.Limit{
				"spread": {Rate: 1, Burst: 1}, "moving": {Rate: 1.6, Burst: 2}, "exact": {Rate: 40, Burst: 10}, "bursts": {Rate: 5, Burst: 30},
				"noisy": {Rate: 8, Burst: 10},
			}
			s := newSim(t, uint64(seed), 77, usual, limits, func(s *sim) { s.delay = 3 * time.Millisecond })
			s.warm()
			at := 0
			traffic := []func(){
				s.conforming("spread", limits["spread"], 1, s.anyHost),
				s.conforming("moving", limits["moving"], 0.6, func() *host { return s.hosts[at] }),
				s.conforming("exact", limits["exact"], 10, s.anyHost),
				s.conforming("bursts", limits["bursts"], 20, func() *host { return s.hosts[s.random.IntN(3)] }),
			}
			for range 20 {
				at = s.random.IntN(len(s.hosts))
				s.run(3*time.Second, func() {
					for _, f := range traffic {
						f()
					}
					if s.random.Float64() < 7.5*limits["noisy"].Rate*tick.Seconds() {
						s.ask("noisy", s.anyHost())
					}
				})
			}
			for name := range limits {
				if name != "noisy" {
					qt.Check(t, s.denied[name], qt.HasLen, 0, qt.Commentf("%s: %d served", name, len(s.uses[name])))
				}
			}
			qt.Check(t, s.failed, qt.Equals, 0)
		})
	}
}

// Guards against a tenant that gets more or less than its limit in the long run while it wants 7.5 times as much, and against
// rejected requests that are all told to return at the same time.
func TestTenantAboveItsLimitGetsTheLimit(t *testing.T) {
	limit := quoter.Limit{Rate: 20, Burst: 10}
	s := newSim(t, 1, 77, usual, map[string]quoter.Limit{"large": limit})
	s.warm()
	const duration = 60 * time.Second
	s.run(duration, func() {
		if s.random.Float64() < 7.5*limit.Rate*tick.Seconds() {
			s.ask("large", s.anyHost())
		}
	})
	granted, due := float64(len(s.uses["large"])), limit.Rate*duration.Seconds()
	qt.Check(t, granted >= due, qt.IsTrue, qt.Commentf("%v of %v", granted, due))
	qt.Check(t, granted <= due+limit.Burst+usual.Excess(limit), qt.IsTrue, qt.Commentf("%v of %v", granted, due))
	told := make(map[int64]int)
	for _, at := range s.denied["large"] {
		told[at.Sub(begin).Milliseconds()/100]++
	}
	// In each tenth of a second 13 requests are rejected; their times lie within 10 s.
	for tenth, count := range told {
		qt.Check(t, count <= 3*13, qt.IsTrue, qt.Commentf("%d rejected requests return in tenth %d", count, tenth))
	}
}

// Guards against hosts that stop serving a tenant at the loss of the leader although they hold tokens for it.
func TestStockLastsUntilTheNextLeader(t *testing.T) {
	limit := quoter.Limit{Rate: 4, Burst: 6}
	s := newSim(t, 1, 77, usual, map[string]quoter.Limit{"small": limit})
	s.warm()
	s.run(10*time.Second, func() {
		if s.now.Sub(begin)%(300*time.Millisecond) == 0 {
			s.ask("small", s.hosts[5])
		}
	})
	held := s.hosts[5].stock.Held("small", s.now)
	qt.Assert(t, held >= 2, qt.IsTrue, qt.Commentf("%d tokens in stock", held))
	s.leader = nil
	s.run(time.Second, func() {})
	for range held {
		s.ask("small", s.hosts[5])
	}
	s.run(time.Second, func() {})
	qt.Assert(t, s.failed, qt.Equals, 0)
}

// newLeader returns a coordinator of one tenant, whose first grants are due, and a function that asks it.
func newLeader(l quoter.Limit) (*quoter.Coordinator, func(r *quoter.Request, age, contact time.Duration) (*quoter.Response, error)) {
	c := quoter.NewCoordinator(usual)
	c.Lead(1, begin)
	c.SetLimits(map[string]quoter.Limit{"x": l, "free": {}}, begin)
	return c, func(r *quoter.Request, age, contact time.Duration) (*quoter.Response, error) {
		return c.Acquire(r, begin.Add(age-contact), begin.Add(age))
	}
}

func want(tenant string, n int) *quoter.Request {
	return &quoter.Request{Epoch: 1, Asks: []quoter.Ask{{Tenant: tenant, Wanted: n}}}
}

// Guards against grants of two leaders at one time: one has been elected just now, the other has no majority any more.
func TestCoordinatorGrantsOnlyWhileItLeads(t *testing.T) {
	c, ask := newLeader(quoter.Limit{Rate: 100, Burst: 100})
	_, err := ask(want("x", 1), 300*time.Millisecond, 0)
	qt.Assert(t, err, qt.ErrorIs, quoter.ErrNotLeading)
	_, err = ask(want("x", 1), time.Second, 300*time.Millisecond)
	qt.Assert(t, err, qt.ErrorIs, quoter.ErrNotLeading)
	r, err := ask(want("x", 1), time.Second, 299*time.Millisecond)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 1)
	c.Lead(2, begin.Add(time.Second))
	_, err = ask(want("x", 1), 1300*time.Millisecond, 0)
	qt.Assert(t, err, qt.ErrorIs, quoter.ErrNotLeading)
}

// Guards against a count for tenants without a quota, and against requests of tenants that are gone being let through.
func TestTenantsWithoutAQuota(t *testing.T) {
	c, ask := newLeader(quoter.Limit{Rate: 1, Burst: 1})
	r, err := ask(want("free", 1000), 10*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Unlimited, qt.IsTrue)
	r, err = ask(want("gone", 1), 10*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Unknown, qt.IsTrue)
	c.SetLimits(map[string]quoter.Limit{}, begin.Add(10*time.Second))
	r, err = ask(want("x", 1), 10*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Unknown, qt.IsTrue)
}

// Guards against a bucket that is filled by removing a tenant and adding it again.
func TestTenantThatReturnsIsCounted(t *testing.T) {
	limit := quoter.Limit{Rate: 1, Burst: 10}
	c, ask := newLeader(limit)
	r, err := ask(want("x", 10), 20*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 10)
	c.SetLimits(map[string]quoter.Limit{}, begin.Add(20*time.Second))
	c.SetLimits(map[string]quoter.Limit{"x": limit}, begin.Add(20*time.Second))
	r, err = ask(want("x", 10), 20*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 0)
}

// Guards against tokens that are lost to a tenant although its requests have not run, and against tokens that come back so late
// that they would be used in a window to which they do not belong.
func TestUnusedTokensComeBack(t *testing.T) {
	_, ask := newLeader(quoter.Limit{Rate: 10, Burst: 10})
	returned := func(age time.Duration) int {
		r, err := ask(want("x", 10), age, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 10)
		back := want("x", 10)
		back.Asks[0].Settlements = []quoter.Settlement{{Stamp: r.Stamp, Unrun: 10}}
		r, err = ask(back, age+50*time.Millisecond, 0)
		qt.Assert(t, err, qt.IsNil)
		return r.Grants[0].Tokens
	}
	qt.Assert(t, returned(20*time.Second), qt.Equals, 10)
	r, err := ask(want("x", 100), 30*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	late := want("x", 0)
	late.Asks[0].Settlements = []quoter.Settlement{{Stamp: r.Stamp, Unrun: 10}}
	_, err = ask(late, 30900*time.Millisecond, 0)
	qt.Assert(t, err, qt.IsNil)
	r, err = ask(want("x", 20), 30900*time.Millisecond, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 9)
}

// Guards against a token that is used long after it was granted, because its answer was late or its host was suspended.
func TestLateTokensAreNotUsed(t *testing.T) {
	_, ask := newLeader(quoter.Limit{Rate: 10, Burst: 10})
	s, now := quoter.NewStock(), begin.Add(20*time.Second)
	_, ok := s.Take("x", now)
	qt.Assert(t, ok, qt.IsFalse)
	s.Wait("x")
	f := s.Next(now)
	r, err := ask(f.Request, 20*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 1)
	qt.Assert(t, s.Answer(f, r, now.Add(quoter.UseWithin)), qt.HasLen, 0)
	f = s.Next(now.Add(quoter.UseWithin))
	qt.Assert(t, f.Request.Asks[0].Wanted, qt.Equals, 1)
	qt.Assert(t, f.Request.Asks[0].Settlements[0].Unrun, qt.Equals, 1)
	qt.Assert(t, s.Held("x", now), qt.Equals, 1)
	_, ok = s.Take("x", now.Add(usual.Validity()))
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against a quota that is exceeded where the deployment permits no excess.
func TestBoundWithoutExcess(t *testing.T) {
	strict := quoter.NewBounds(0, 0, 0)
	limit := quoter.Limit{Rate: 10, Burst: 20}
	s := newSim(t, 1, 20, strict, map[string]quoter.Limit{"x": limit})
	s.warm()
	s.run(30*time.Second, func() {
		if rand.New(rand.NewPCG(uint64(s.now.UnixNano()), 1)).Float64() < 0.1 {
			s.ask("x", s.anyHost())
		}
	})
	most := s.most("x", begin, s.now)
	qt.Assert(t, most <= 70, qt.IsTrue, qt.Commentf("%d", most))
	qt.Assert(t, most >= 65, qt.IsTrue, qt.Commentf("%d", most))
}

// Guards against tokens in stock that nobody counts: those that were used, those whose host is lost, those that several leaders
// hand out in one window, and those that are handed out while earlier ones exceed the bucket.
func TestTokensInStockAreCounted(t *testing.T) {
	limit := quoter.Limit{Rate: 1, Burst: 10}
	request := func(wanted, stock int, settlements ...quoter.Settlement) *quoter.Request {
		return &quoter.Request{Epoch: 1, Asks: []quoter.Ask{{Tenant: "x", Wanted: wanted, Stock: stock, Settlements: settlements}}}
	}
	// fill asks for tokens in stock until there are no more, and returns their settlements as used.
	fill := func(ask func(*quoter.Request, time.Duration, time.Duration) (*quoter.Response, error), age time.Duration) (count int, used []quoter.Settlement) {
		for {
			r, err := ask(request(0, 100), age, 0)
			qt.Assert(t, err, qt.IsNil)
			n := r.Grants[0].Stock
			if n == 0 {
				return count, used
			}
			count += n
			used = append(used, quoter.Settlement{Stamp: r.Stamp, Used: n})
		}
	}
	_, ask := newLeader(limit)
	early, _ := fill(ask, 1310*time.Millisecond)
	_, ask = newLeader(limit)
	full, used := fill(ask, 20*time.Second)
	qt.Assert(t, early > 0 && early <= full/4, qt.IsTrue, qt.Commentf("%d of %d tokens in stock after a second", early, full))
	// Half of the bucket is handed out against payment; only the rest may exceed the quota.
	qt.Assert(t, float64(full)-limit.Burst/2 <= usual.Excess(limit)/3, qt.IsTrue)
	r, err := ask(request(100, 0, used...), 20*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	first := r.Grants[0].Tokens
	qt.Assert(t, first, qt.Equals, 10-full)
	again, _ := fill(ask, 21*time.Second) // Nothing is handed out against payment while the bucket is less than half full.
	qt.Assert(t, again, qt.Equals, full-int(limit.Burst/2))
	r, err = ask(request(100, 0), 21*time.Second, 0) // The bucket is empty now, and the host of the tokens in stock is lost.
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 1)
	r, err = ask(request(100, 100), 26*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Grants[0].Tokens, qt.Equals, 5-again)
	qt.Assert(t, r.Grants[0].Stock, qt.Equals, 0)
}

// A call and its hedge are both answered. Guards against a request that gets two tokens, against tokens that are lost, and against
// settlements that are counted twice.
func TestHedgeAsksOnlyForWhatIsWaitedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quoter.NewStock()
	id := s.Wait("t")
	first := s.Next(now)
	second := s.Hedge(first, now)
	qt.Assert(t, second.Request.Asks, qt.DeepEquals, []quoter.Ask{{Tenant: "t", Wanted: 1}})
	answer := func(f *quoter.Flight, stamp uint64) []quoter.Verdict {
		return s.Answer(f, &quoter.Response{Epoch: 1, Stamp: stamp, Validity: time.Second, Grants: []quoter.Grant{{Tenant: "t", Tokens: 1}}}, now)
	}
	verdicts := answer(second, 1)
	qt.Assert(t, verdicts, qt.HasLen, 1)
	qt.Assert(t, verdicts[0].ID, qt.Equals, id)
	qt.Assert(t, verdicts[0].Granted, qt.IsTrue)
	qt.Assert(t, s.Hedge(first, now), qt.IsNil)
	qt.Assert(t, answer(first, 2), qt.HasLen, 0)
	now = now.Add(time.Second)
	settlements := s.Next(now).Request.Asks[0].Settlements
	qt.Assert(t, settlements, qt.DeepEquals, []quoter.Settlement{{Stamp: 2, Unrun: 1}})
}

// Guards against an inspection that counts tokens that are used up or have expired, or that changes the stock or the demand.
func TestInspectChangesNothing(t *testing.T) {
	_, ask := newLeader(quoter.Limit{Rate: 10, Burst: 10})
	s, now := quoter.NewStock(), begin.Add(20*time.Second)
	tokens, _ := s.Inspect("x", now)
	qt.Assert(t, tokens, qt.Equals, 0)
	qt.Assert(t, s.Next(now), qt.IsNil)
	_, ok := s.Take("x", now)
	qt.Assert(t, ok, qt.IsFalse)
	f := s.Next(now)
	r, err := ask(f.Request, 20*time.Second, 0)
	qt.Assert(t, err, qt.IsNil)
	s.Answer(f, r, now)
	tokens, expires := s.Inspect("x", now)
	qt.Assert(t, tokens, qt.Equals, r.Grants[0].Stock)
	qt.Assert(t, tokens > 0, qt.IsTrue)
	qt.Assert(t, expires, qt.Equals, now.Add(r.Validity))
	for range tokens {
		_, ok = s.Take("x", now)
		qt.Assert(t, ok, qt.IsTrue)
		tokens--
		left, _ := s.Inspect("x", now)
		qt.Assert(t, left, qt.Equals, tokens)
	}
	_, expires = s.Inspect("x", now.Add(r.Validity))
	qt.Assert(t, expires.IsZero(), qt.IsTrue)
}
