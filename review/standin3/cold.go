package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// coldTime and coldRate are coldStartS and coldPerS of the services. coldBound is the greatest number of requests that a cold leaf may
	// get in one second: coldPerS x coldOvershoot (1.5) + coldSlack (5).
	coldTime  = 3 * time.Second
	coldRate  = 10
	coldBound = 20
	// beatInterval is heartbeatIntervalMs.
	beatInterval = 1200 * time.Millisecond
	// The evacuation begins after evacuateAfter and lasts for evacuatedFor. The leafs of the data centre become cold coldBefore before its
	// end is ordered; without trouble so long before it that each has said so in a heartbeat.
	evacuateAfter     = 5 * time.Second
	evacuatedFor      = 5 * time.Second
	coldBefore        = 200 * time.Millisecond
	coldBeforeInCalm  = 1500 * time.Millisecond
	trafficAfterwards = 5 * time.Second
	// queryEvery is the time between two queries: those of name-clash in the site's sheet, 135 a second.
	queryEvery = time.Second / 135
)

// coldCalls records what cold leafs get.
type coldCalls struct {
	mu sync.Mutex
	// sent holds when each client attempt was sent, and calls the arrivals by leaf.
	sent  map[string]time.Time
	calls map[*leaf][]arrival
}

// add records an arrival at a cold leaf.
func (c *coldCalls) add(a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[a.leaf] = append(c.calls[a.leaf], *a)
}

// most returns the greatest number of requests that a cold leaf got in one second. A request counts if it was also sent in that second.
func (c *coldCalls) most(l *leaf) int {
	most := 0
	for _, first := range c.calls[l] {
		begin, n := c.sent[first.id], 0
		for _, a := range c.calls[l] {
			if !c.sent[a.id].Before(begin) && a.at.Before(begin.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// playCold evacuates a data centre and takes the order back shortly after the leafs there have become cold.
func playCold(r *record, trouble bool) result {
	centers := []string{"a", "b", "c"}
	d, err := newDeployment(r, centers, 3, 9, "")
	if err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	seen := coldCalls{sent: make(map[string]time.Time), calls: make(map[*leaf][]arrival)}
	c := config{Version: 7, Limits: siteLimits}
	var shards []string
	var evacuated []*leaf
	for i := range 10 {
		name := fmt.Sprintf("shard%d", i)
		shards = append(shards, name)
		s := service(name, 26)
		s.ColdStartS, s.ColdPerS = coldTime.Seconds(), coldRate
		c.Services = append(c.Services, s)
		for j, center := range centers {
			l, err := startLeaf(d, fmt.Sprintf("i-%d%d", i, j), name, d.leafAddress(len(centers)*i+j), center, func(a *arrival) verdict {
				if a.leaf.coldLeft() > 0 {
					r.line("leaf %s: gets %s while it is cold", a.leaf.id, a.id)
					seen.add(a)
				}
				return part(a)
			}, func(l *leaf) {
				l.interval, l.phase = beatInterval, time.Duration(rand.Float64()*float64(beatInterval))
			})
			if err != nil {
				r.line("error: %v", err)
				return unplayed
			}
			defer l.crash()
			if center == "b" {
				evacuated = append(evacuated, l)
			}
		}
	}
	c.Routes = []routeConfig{{Name: "all", Host: "x.example", PathPrefix: "/all/", RouteType: "safe", TimeoutMS: 1500, TargetLatencyMS: 100, Priority: 1, Gather: shards, MaxAttempts: 2, TopK: 10, MinCoverage: 0.89}}
	if !d.configure(c, 15*time.Second) || !d.awaitReady(10*time.Second) {
		return unplayed
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	var running sync.WaitGroup
	var served tally
	running.Go(func() {
		tick := time.NewTicker(queryEvery)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			running.Go(func() {
				q := request{method: http.MethodGet, host: "x.example", path: fmt.Sprintf("/all/%x", n), deadline: 1500 * time.Millisecond}
				q.sent = func(id string, at time.Time) {
					seen.mu.Lock()
					defer seen.mu.Unlock()
					seen.sent[id] = at
				}
				a := d.attempt(d.entries[n%len(d.entries)], q)
				served.add(a.status == http.StatusOK)
			})
		}
	})
	time.Sleep(evacuateAfter)
	if _, ok := d.order(http.MethodPost, "/evacuation/b", nil, 5*time.Second); !ok {
		return unplayed
	}
	before := coldBefore
	if !trouble {
		before = coldBeforeInCalm
	}
	time.Sleep(evacuatedFor - before)
	r.line("leafs of b: become cold")
	for _, l := range evacuated {
		l.becomeCold(coldTime)
	}
	time.Sleep(before)
	if _, ok := d.order(http.MethodDelete, "/evacuation/b", nil, 5*time.Second); !ok {
		return unplayed
	}
	time.Sleep(trafficAfterwards)
	close(done)
	running.Wait()
	r.line("%d of %d queries served", served.served, served.sent)
	over := 0
	for _, l := range evacuated {
		n := seen.most(l)
		r.line("cold leaf %s: %d requests in one second at most", l.id, n)
		if n > coldBound {
			over++
		}
	}
	r.line("%d of %d cold leafs got more than %d requests in one second", over, len(evacuated), coldBound)
	if over > 0 {
		return broken
	}
	return held
}
