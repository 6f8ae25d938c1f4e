package admitter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/admitter"
)

const (
	// leastRatio is the users' bound: a kind of request or a tenant must not be served less than a quarter as often as all.
	leastRatio = 0.25
	// maxRejectTime is the part of the target within which a rejection must be sent.
	maxRejectTime = 0.25
	// maxWasted is the part of the admitted requests that may end too late or not at all.
	maxWasted = 0.1
)

// wide and narrow are the kinds of request of the tests: 36 ms and 120 ms of work. Three leaves of four slots serve 333 of
// the former or 100 of the latter per second.
func wide(tenant string, perSecond float64) traffic {
	return traffic{
		route: "wide", tenant: tenant, priority: 1, perSecond: perSecond, work: 36 * time.Millisecond, target: 150 * time.Millisecond,
		deadline: 800 * time.Millisecond, services: serviceNames(8), needed: 7,
	}
}

func urgent(tenant string, perSecond float64) traffic {
	k := wide(tenant, perSecond)
	k.route, k.priority, k.target, k.deadline = "urgent", 0, 60*time.Millisecond, 300*time.Millisecond
	return k
}

func narrow(tenant string, perSecond float64) traffic {
	return traffic{
		route: "narrow", tenant: tenant, priority: 1, perSecond: perSecond, work: 120 * time.Millisecond, target: 500 * time.Millisecond,
		deadline: 3 * time.Second, services: []string{"s0"}, needed: 1,
	}
}

func burst(k traffic, factor float64) traffic {
	k.burst = factor
	return k
}

func impatient(k traffic) traffic {
	k.impatient = true
	return k
}

func leaving(k traffic) traffic {
	k.leaving = 0.3
	return k
}

// loads are the loads above saturation. Each is also run with half of the leaves 2.5 times slower, with the loss of a
// quarter of the hosts, and with both.
func loads() map[string][]traffic {
	tenants := func(rates ...float64) []traffic {
		var out []traffic
		for i, rate := range rates {
			out = append(out, wide(fmt.Sprintf("t%d", i), rate))
		}
		return out
	}
	return map[string][]traffic{
		"burst of wide by 2.5":             {burst(wide("", 200), 2.5), urgent("", 60)},
		"burst of urgent by 2.5":           {wide("", 100), burst(urgent("", 180), 2.5)},
		"burst of narrow by 2.5":           {burst(narrow("", 70), 2.5), wide("", 30), urgent("", 30)},
		"one tenant by 7.5":                append(tenants(40, 40, 40, 40), burst(wide("large", 50), 7.5)),
		"three tenants by 4":               append(tenants(20, 20, 3), burst(wide("x", 60), 4), burst(wide("y", 60), 4), burst(wide("z", 60), 4)),
		"callers who repeat at once":       {impatient(burst(wide("", 200), 2.5)), urgent("", 60)},
		"callers who leave":                {leaving(burst(wide("", 200), 2.5)), urgent("", 60)},
		"long requests beside short ones":  {burst(narrow("", 60), 2.5), burst(wide("", 150), 2.5)},
		"small tenant of a lower priority": {burst(urgent("large", 200), 2.5), wide("small", 4)},
	}
}

// Loads above saturation. Guards against starved tenants and priorities, late rejections, and admitted work that does not
// end in time.
func TestOverload(t *testing.T) {
	for name, kinds := range loads() {
		for _, slow := range []bool{false, true} {
			for _, lose := range []time.Duration{0, 5 * time.Second} {
				t.Run(fmt.Sprintf("%s, slow=%t, lose=%s", name, slow, lose), func(t *testing.T) {
					s := newSimulation(1, 8, 8, kinds...)
					s.loseAt = lose
					if slow {
						for i := range 8 {
							leaves := s.leaves[serviceName(i)]
							leaves[0].slow = 2.5
							if i%2 == 0 {
								leaves[1].slow = 2.5
							}
						}
					}
					s.run(10 * time.Second)
					check(t, s)
				})
			}
		}
	}
}

// Load: as many hosts as in the largest deployment, so that each hears of a leaf about once a second. Guards against hosts
// that admit everything because their reports are too old to judge by.
func TestOverloadOfManyHosts(t *testing.T) {
	for _, name := range []string{"burst of wide by 2.5", "one tenant by 7.5"} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 133, 8, loads()[name]...)
			s.loseAt = 12 * time.Second
			s.run(30 * time.Second)
			check(t, s)
		})
	}
}

func check(t *testing.T, s *simulation) {
	var all counts
	for _, r := range s.results {
		all.offered += r.offered
		all.answered += r.answered
	}
	for i, r := range s.results {
		k := s.kinds[i]
		comment := qt.Commentf("%s %s: %+v; all %+v", k.route, k.tenant, r, all)
		t.Logf("%-8s %-6s %+v ratio %.2f", k.route, k.tenant, r, r.ratio())
		qt.Check(t, r.ratio() >= leastRatio*all.ratio(), qt.IsTrue, comment)
		qt.Check(t, r.slowest <= maxRejectTime, qt.IsTrue, comment)
		qt.Check(t, float64(r.admitted-r.answered-r.unfinished) <= maxWasted*float64(r.admitted), qt.IsTrue, comment)
	}
}

// Guards against rejecting or delaying requests while slots are free, with any mix of requests.
func TestNothingIsRejectedBelowSaturation(t *testing.T) {
	for seed := range uint64(12) {
		s := newSimulation(seed, []int{1, 4, 30, 133}[seed%4], 8, wide("a", 20+10*float64(seed%4)), urgent("b", 40), narrow("c", 4+float64(seed%3)))
		if seed >= 4 {
			s.pauseTime = 150 * time.Millisecond
		}
		s.run(10 * time.Second)
		qt.Check(t, s.delayed, qt.Equals, 0, qt.Commentf("seed %d: %+v", seed, s.results))
	}
}

func request(now time.Time) *admitter.Request {
	return &admitter.Request{
		Route: "r", Services: []string{"s"}, Needed: 1, Arrived: now, Target: now.Add(100 * time.Millisecond), Deadline: now.Add(time.Second),
	}
}

// measured returns an admitter that knows a service time of 100 ms.
func measured() *admitter.Admitter {
	a := admitter.New()
	for range 10 {
		a.Answered("s", "l", 100*time.Millisecond, 0, 4, time.Unix(1000, 0))
	}
	return a
}

// Guards against rejecting requests for leaves of which nothing, or not enough, is known.
func TestNothingIsAssumed(t *testing.T) {
	now := time.Unix(1000, 0)
	full := func(string) admitter.Pool { return admitter.Pool{Slots: 4, Used: 4, Queued: 1000} }
	qt.Check(t, admitter.New().Offer(request(now), full, 0, now).Decision.Verdict, qt.Equals, admitter.Admitted)
	qt.Check(t, measured().Offer(request(now), full, 0, now).Decision.Verdict, qt.Equals, admitter.Rejected)
	unknown := func(string) admitter.Pool { return admitter.Pool{Queued: 1000} }
	qt.Check(t, measured().Offer(request(now), unknown, 0, now).Decision.Verdict, qt.Equals, admitter.Admitted)
}

// Guards against callers who are told to return at the same time, too early, or after their deadline.
func TestRejectedCallersReturnOneAfterAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	a := measured()
	full := func(string) admitter.Pool { return admitter.Pool{Slots: 4, Used: 4, Queued: 40, Hosts: 2} }
	last := time.Duration(0)
	for i := range 8 {
		d := a.Offer(request(now), full, float64(i)/8, now).Decision
		qt.Assert(t, d.Verdict, qt.Equals, admitter.Rejected)
		qt.Assert(t, d.RetryAfter > last, qt.IsTrue, qt.Commentf("%s after %s", d.RetryAfter, last))
		qt.Assert(t, d.RetryAfter <= time.Second, qt.IsTrue)
		last = d.RetryAfter
	}
	distinct := make(map[time.Duration]bool)
	for i := range 100 {
		d := a.Offer(request(now), full, float64(i)/100, now).Decision
		qt.Assert(t, d.RetryAfter <= time.Second, qt.IsTrue)
		distinct[d.RetryAfter] = true
	}
	qt.Assert(t, len(distinct) > 90, qt.IsTrue, qt.Commentf("%d", len(distinct)))
}

// Guards against a host that is late now and then, or was frozen, and rejects requests although it keeps up; against one
// that does not keep up and rejects none; and against a limit that stays.
func TestProcessorLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	a := admitter.New()
	none := func(string) admitter.Pool { return admitter.Pool{} }
	var running []*admitter.Ticket
	for range 20 {
		ticket := a.Offer(request(now), none, 0, now)
		now = now.Add(25 * time.Millisecond)
		a.End(ticket, now)
	}
	for range 10 {
		running = append(running, a.Offer(request(now), none, 0, now), a.Begin(request(now), now)) // Portions are load too.
	}
	a.Tick(10*time.Second, now)
	for i := range 40 {
		now = now.Add(25 * time.Millisecond)
		a.Tick(time.Duration(i%3)*30*time.Millisecond, now)
	}
	qt.Assert(t, a.HostLimit(), qt.Equals, 0)
	for range 40 {
		now = now.Add(25 * time.Millisecond)
		a.Tick(60*time.Millisecond, now)
	}
	qt.Assert(t, a.HostLimit() > 0 && a.HostLimit() < 20, qt.IsTrue)
	d := a.Offer(request(now), none, 0, now).Decision
	qt.Assert(t, d.Verdict, qt.Equals, admitter.Rejected)
	qt.Assert(t, d.Limit, qt.Equals, admitter.Processor)
	for _, ticket := range running {
		a.End(ticket, now)
	}
	for range 60 {
		now = now.Add(25 * time.Millisecond)
		a.Tick(0, now)
	}
	qt.Assert(t, a.HostLimit(), qt.Equals, 0)
}

// Guards against a request that waits while a connection is free, and against the loss of one whose caller has left.
func TestRequestsWaitForConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	a := measured()
	own := 0
	pool := func(string) admitter.Pool {
		return admitter.Pool{Slots: 12, Used: float64(own), Own: own, Connections: 6}
	}
	var admitted []*admitter.Ticket
	for range 6 {
		admitted = append(admitted, a.Offer(request(now), pool, 0, now))
		a.Sent(admitted[len(admitted)-1])
		own++
	}
	first, second := a.Offer(request(now), pool, 0, now), a.Offer(request(now), pool, 0, now)
	qt.Assert(t, first.Decision.Verdict, qt.Equals, admitter.Waiting)
	qt.Assert(t, first.Decision.Limit, qt.Equals, admitter.Connections)
	qt.Assert(t, second.Decision.Verdict, qt.Equals, admitter.Rejected) // Its wait would be longer than a quarter of its target.
	a.End(admitted[0], now)
	own--
	decided := a.Step(pool, 0, now)
	qt.Assert(t, decided, qt.HasLen, 1)
	qt.Assert(t, decided[0], qt.Equals, first)
	qt.Assert(t, first.Decision.Verdict, qt.Equals, admitter.Admitted)
	a.Sent(first)
	own++
	third := a.Offer(request(now), pool, 0, now)
	qt.Assert(t, a.Cancel(third), qt.IsTrue)
	qt.Assert(t, a.Cancel(third), qt.IsFalse)
	qt.Assert(t, a.Waiting(), qt.Equals, 0)
	qt.Assert(t, a.Running(), qt.Equals, 6)
}
