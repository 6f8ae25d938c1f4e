package quoter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/quoter"
)

// caller sends requests of a tenant to one host and turns to another one from time to time.
type caller struct {
	tenant *subscriber
	host   int
	next   time.Time
}

// subscriber is a tenant with a bucket that says which of its requests are within its limit.
type subscriber struct {
	name  string
	limit quoter.Limit
	load  float64 // requests per second of each caller
	level float64
	at    time.Time
	// within is the number of requests within the limit.
	within int
}

// count counts a request at a time if it is within the limit.
func (u *subscriber) count(now time.Time) {
	u.level = min(max(u.limit.Burst, 1), u.level+u.limit.Rate*now.Sub(u.at).Seconds())
	u.at = now
	if u.level >= 1 {
		u.level--
		u.within++
	}
}

// Guards against rejections below the limit, and prints messages, bytes and memory, with 81 tenants whose traffic differs by
// up to 40 times, 1.56 requests a second and host, a quota of 1.6 times the traffic, and one tenant at 7.5 times its traffic.
// Messages take up to 2 ms. Without -soak it runs with 77 hosts for a shorter time.
func TestScale(t *testing.T) {
	sizes, duration := []int{77}, 10*time.Second
	if *soak {
		sizes, duration = []int{77, 133, 300, 1000}, 60*time.Second
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) { scale(t, size, duration) })
	}
}

func scale(t *testing.T, size int, duration time.Duration) {
	const tenants, perHost, headroom, overload, stay = 81, 1.56, 1.6, 7.5, 20 * time.Second
	weights := 0.0
	for i := range tenants {
		weights += 1 / float64(i+2)
	}
	limits := make(map[string]quoter.Limit)
	var callers []*caller
	var all []*subscriber
	for i := range tenants {
		traffic := float64(size) * perHost / weights / float64(i+2)
		u := &subscriber{name: fmt.Sprintf("tenant-%02d", i), limit: quoter.Limit{Rate: headroom * traffic, Burst: 2 * headroom * traffic}, at: begin}
		u.level = u.limit.Burst
		limits[u.name] = u.limit
		all = append(all, u)
		count := max(1, int(traffic))
		u.load = traffic / float64(count)
		if i == 3 {
			u.load *= overload
		}
		for range count {
			callers = append(callers, &caller{tenant: u})
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSim(t, 1, size, usual, limits, func(s *sim) { s.delay = 2 * time.Millisecond })
	s.warm()
	for _, c := range callers {
		c.next = s.now
	}
	requests := 0
	traffic := func() {
		for _, c := range callers {
			if s.now.Before(c.next) {
				continue
			}
			if c.next.Equal(begin.Add(2*usual.Window)) || s.random.Float64() < 1/(c.tenant.load*stay.Seconds()) {
				c.host = s.random.IntN(size)
			}
			c.next = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(time.Second) / c.tenant.load))
			requests++
			c.tenant.count(s.now)
			s.ask(c.tenant.name, s.hosts[c.host])
		}
	}
	s.messages, s.bytes, s.stocked = 0, 0, 0
	s.run(duration, traffic)
	messages, bytes := s.messages, s.bytes
	s.run(time.Second, func() {})
	within, lacking, denied := 0, 0, 0
	for _, u := range all {
		within += u.within
		lacking += max(0, u.within-len(s.uses[u.name]))
		denied += len(s.denied[u.name])
		qt.Check(t, float64(s.most(u.name, begin, s.now)) <= s.bound(u.limit), qt.IsTrue, qt.Commentf("%s", u.name))
	}
	clear(s.uses)
	clear(s.denied)
	s.events = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	qt.Check(t, lacking, qt.Equals, 0)
	if *soak {
		seconds := duration.Seconds()
		fmt.Printf("%d hosts: %.0f requests/s, %.0f messages/s and %.1f KB/s in all, %.2f messages/s and host; %.0f%% served from the stock; "+
			"%d of %d within the limit were not served, %d rejected in all; %.1f KB memory a host\n",
			size, float64(requests)/seconds, float64(messages)/seconds, float64(bytes)/seconds/1000, float64(messages)/seconds/float64(size),
			100*float64(s.stocked)/float64(requests), lacking, within, denied, float64(after.HeapAlloc-before.HeapAlloc)/1000/float64(size))
	}
	runtime.KeepAlive(s)
}
