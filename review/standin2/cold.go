package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// entryHosts is the number of front machines of the deployment rnm-galati.
	entryHosts = 9
	// coldPerSecond is the configured coldPerS. The bound is coldPerSecond x coldOvershoot (1.5) + coldSlack (5).
	coldPerSecond = 10
	coldBound     = coldPerSecond*3/2 + 5
	coldTime      = 3 * time.Second
	// crashTime is how long the leaves are down, as in the site file (srv_crash, all, 4.5 s).
	crashTime = 4500 * time.Millisecond
	// requestInterval is the time between two requests of a client to one entry host: 135 requests a second in all.
	requestInterval = time.Second * entryHosts / 135
	// coldRecovery is how long a leaf is down that crashes while it is cold, and coldObserve how long the leaves are watched
	// after they are back.
	coldRecovery = 2 * time.Second
	coldObserve  = 15 * time.Second
	// countedWindow is a little less than a second, so that each counted request was also sent inside that second.
	countedWindow = 980 * time.Millisecond
)

// cold: all leaves of a service crash and come back together, cold. No leaf may get more than the bound in any second.
func cold(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	zones := []string{"z-a", "z-b", "z-c"}
	for _, zone := range zones {
		d.add(roleControl, zone)
	}
	for i := range entryHosts {
		d.add(roleEntry, zones[i%len(zones)])
	}
	if err := d.startAll(); err != nil {
		return err
	}
	var leaves []*leaf
	for i, zone := range zones {
		name := fmt.Sprintf("i-%d", i+1)
		l := &leaf{name: name, id: name, service: "svc", zone: zone, work: 5 * time.Millisecond, deployment: d, record: r}
		if err := l.serve(); err != nil {
			return err
		}
		defer l.end()
		leaves = append(leaves, l)
	}
	o := newOperator(d)
	err = o.configure([]route{{
		Name: "r", Host: "a.example", PathPrefix: "/a/", RouteType: "safe", TimeoutMS: 2000, TargetLatencyMS: 200, Priority: 1, Service: "svc", MaxAttempts: 2,
	}}, []service{{Name: "svc", HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdStartS: coldTime.Seconds(), ColdPerS: coldPerSecond}}, orderTime)
	if err != nil {
		return err
	}
	var counter atomic.Int64
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer sync.OnceFunc(func() { close(stop) })()
	for _, h := range d.of(roleEntry) {
		c := newClient(d.address(h, d.callerPort), r, 2*time.Second, &counter)
		if !c.await("a.example", "/a/x", 20*time.Second) {
			return errNotServing
		}
		running.Add(1)
		go c.run("a.example", "/a/x", requestInterval, stop, &running)
	}
	// Every entry host is known to every other one, and no disruption is near.
	time.Sleep(8 * time.Second)
	return playCold(d, leaves, trouble)
}

func playCold(d *deployment, leaves []*leaf, trouble bool) error {
	if trouble {
		for _, l := range leaves {
			l.crash()
		}
		time.Sleep(crashTime)
		for _, l := range leaves {
			l.mu.Lock()
			l.id += "-again"
			l.name = l.id
			l.cold, l.limit, l.recovery = coldTime, coldBound, coldRecovery
			l.mu.Unlock()
			if err := l.serve(); err != nil {
				return err
			}
		}
	}
	time.Sleep(coldObserve)
	worst, crashes := 0, 0
	for _, l := range leaves {
		times := make(map[string][]time.Time)
		for _, a := range l.taken() {
			times[a.leaf] = append(times[a.leaf], a.at)
		}
		l.mu.Lock()
		crashes += len(l.crashes)
		l.mu.Unlock()
		for id, list := range times {
			if id == l.first {
				continue // The incarnation before the trouble was not cold.
			}
			most := mostWithin(list, countedWindow)
			d.record.add("leaf %s: %d requests, %d at most within %s; the bound while it is cold is %d", id, len(list), most, countedWindow, coldBound)
			worst = max(worst, most)
		}
	}
	d.record.add("%d crashes of cold leaves", crashes)
	if crashes > 0 {
		return fmt.Errorf("%w: FAILBACK: a cold leaf got %d requests in one second, the bound is %d; cold leaves crashed %d times", errBroken, worst, coldBound, crashes)
	}
	return nil
}

// mostWithin returns the largest number of times within a window of a given length.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
