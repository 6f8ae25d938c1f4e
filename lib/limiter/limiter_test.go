package limiter_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/limiter"
)

var soak = flag.Bool("soak", false, "run many more seeds")

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func call(tenant string, weight int, deadline time.Time) *limiter.Call {
	return &limiter.Call{Flow: limiter.Flow{Tenant: tenant}, Weight: weight, Deadline: deadline}
}

// Guards against running more calls than the slots or the allowance permit, running an exclusive call together with
// another, starting a call past its deadline, and calls that are lost or end twice. Arrivals, ends, cancellations and
// allowances are random.
func TestNeverAboveSlots(t *testing.T) {
	seeds := 200
	if *soak {
		seeds = 20000
	}
	for seed := range seeds {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(uint64(seed), 3))
		slots := 1 + random.IntN(6)
		l := limiter.New(slots)
		now := start
		running, waiting := make(map[*limiter.Call]bool), make(map[*limiter.Call]bool)
		pick := func(m map[*limiter.Call]bool) *limiter.Call {
			var best *limiter.Call
			for x := range m {
				if best == nil || x.Deadline.Before(best.Deadline) {
					best = x
				}
			}
			return best
		}
		for range 500 {
			now = now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
			allowance := 1 + random.IntN(slots)
			switch random.IntN(4) {
			case 0, 1:
				x := call(string(rune('a'+random.IntN(4))), 1+random.IntN(3), now.Add(time.Duration(1+random.IntN(100_000))*time.Microsecond))
				x.Exclusive = random.IntN(8) == 0
				if l.Enqueue(x, allowance, now) == limiter.Admitted {
					waiting[x] = true
				}
			case 2:
				if x := pick(running); x != nil {
					l.Done(x, time.Duration(random.IntN(5000))*time.Microsecond)
					delete(running, x)
				}
			case 3:
				if x := pick(waiting); x != nil && random.IntN(3) == 0 {
					c.Assert(l.Cancel(x), qt.IsTrue)
					c.Assert(l.Cancel(x), qt.IsFalse)
					delete(waiting, x)
				}
			}
			for _, x := range l.Expire(now) {
				c.Assert(waiting[x], qt.IsTrue)
				delete(waiting, x)
			}
			for x := l.Start(allowance); x != nil; x = l.Start(allowance) {
				c.Assert(waiting[x], qt.IsTrue)
				c.Assert(now.Before(x.Deadline), qt.IsTrue)
				delete(waiting, x)
				running[x] = true
				c.Assert(len(running) <= min(slots, allowance), qt.IsTrue, qt.Commentf("seed %d", seed))
			}
			for x := range running {
				c.Assert(!x.Exclusive || len(running) == 1, qt.IsTrue, qt.Commentf("seed %d", seed))
			}
			c.Assert(l.Active(), qt.Equals, len(running))
			c.Assert(l.Waiting(), qt.Equals, len(waiting))
		}
	}
}

// Guards against one tenant's flood delaying another tenant's single calls, and against weights without effect.
func TestFloodDoesNotStarve(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(1)
	far := start.Add(time.Hour)
	for range 1000 {
		c.Assert(l.Enqueue(call("flood", 1, far), 1, start), qt.Equals, limiter.Admitted)
	}
	started := make(map[string]int)
	for range 100 {
		single := call("single", 1, far)
		c.Assert(l.Enqueue(single, 1, start), qt.Equals, limiter.Admitted)
		for before := 0; ; before++ {
			x := l.Start(1)
			started[x.Flow.Tenant]++
			l.Done(x, time.Millisecond)
			if x == single {
				break
			}
			c.Assert(before < 2, qt.IsTrue, qt.Commentf("a single call waited for %d calls of the flood", before+1))
		}
	}
	l = limiter.New(1)
	for range 300 {
		l.Enqueue(call("light", 1, far), 1, start)
		l.Enqueue(call("heavy", 3, far), 1, start)
	}
	heavy := 0
	for range 200 {
		x := l.Start(1)
		if x.Flow.Tenant == "heavy" {
			heavy++
		}
		l.Done(x, time.Millisecond)
	}
	c.Assert(heavy, qt.Equals, 150)
}

// Guards against queueing a call that cannot end in time, and against an idle leaf that refuses calls forever because
// it was slow once.
func TestRefusalByDeadline(t *testing.T) {
	c := qt.New(t)
	l := limiter.New(1)
	first := call("a", 1, start.Add(time.Minute))
	c.Assert(l.Enqueue(first, 1, start), qt.Equals, limiter.Admitted)
	l.Start(1)
	l.Done(first, 10*time.Millisecond)
	c.Assert(l.Enqueue(call("a", 1, start.Add(time.Millisecond)), 1, start), qt.Equals, limiter.Admitted)
	l.Start(1)
	c.Assert(l.Enqueue(call("a", 1, start.Add(15*time.Millisecond)), 1, start), qt.Equals, limiter.DeadlineExceeded)
	c.Assert(l.Enqueue(call("a", 1, start.Add(25*time.Millisecond)), 1, start), qt.Equals, limiter.Admitted)
}
