package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonPath = "/a/poison"
	// poisonWork is how long a leaf runs the request before it crashes, and poisonRecovery how long it is down.
	poisonWork     = 100 * time.Millisecond
	poisonRecovery = 2 * time.Second
	// poisonInterval is the time between two tries of the client, and poisonTries their number.
	poisonInterval = 4 * time.Second
	poisonTries    = 6
	// abuse is how many times an impatient client sends each try at once.
	abuse = 12
	// permittedRetries is the bound of the users' pages.
	permittedRetries = 3
)

// poison: a request crashes each leaf that runs it, and comes again. With trouble, its client is one that does not wait and
// sends each try several times at once.
func poison(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	zones := []string{"z-a", "z-b", "z-c"}
	for _, zone := range zones {
		d.add(roleControl, zone)
	}
	for _, zone := range zones {
		d.add(roleEntry, zone)
	}
	if err := d.startAll(); err != nil {
		return err
	}
	var leaves []*leaf
	for i, zone := range zones {
		name := fmt.Sprintf("i-%d", i+1)
		l := &leaf{
			name: name, id: name, service: "svc", zone: zone, work: poisonWork, deployment: d, record: r, poison: poisonPath, recovery: poisonRecovery,
		}
		if err := l.serve(); err != nil {
			return err
		}
		defer l.end()
		leaves = append(leaves, l)
	}
	err = newOperator(d).configure([]route{{
		Name: "r", Host: "a.example", PathPrefix: "/a/", RouteType: "safe", TimeoutMS: 3000, TargetLatencyMS: 400, Priority: 1, Service: "svc", MaxAttempts: 2,
	}}, []service{{Name: "svc", HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdStartS: 1}}, orderTime)
	if err != nil {
		return err
	}
	var counter atomic.Int64
	var clients []*client
	for _, h := range d.of(roleEntry) {
		c := newClient(d.address(h, d.callerPort), r, 3*time.Second, &counter)
		if !c.await("a.example", "/a/x", 20*time.Second) {
			return errNotServing
		}
		clients = append(clients, c)
	}
	time.Sleep(contactWindow + 4*time.Second)
	return playPoison(r, leaves, clients, trouble)
}

func playPoison(r *record, leaves []*leaf, clients []*client, trouble bool) error {
	copies := 1
	if trouble {
		copies = abuse
	}
	for try := range poisonTries {
		next := time.Now().Add(poisonInterval)
		var running sync.WaitGroup
		for i := range copies {
			c := clients[(try+i)%len(clients)]
			running.Go(func() { c.send(http.MethodGet, "a.example", poisonPath) })
		}
		running.Wait()
		sleepUntil(next)
	}
	var crashes []time.Time
	for _, l := range leaves {
		l.mu.Lock()
		crashes = append(crashes, l.crashes...)
		l.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 3 {
		return fmt.Errorf("%w: the request crashed %d leaves", errNothingSent, len(crashes))
	}
	bound := crashes[2].Add(contactWindow)
	late := make(map[string]bool)
	for _, l := range leaves {
		for _, a := range l.taken() {
			if a.path == poisonPath && a.at.After(bound) {
				late[a.id] = true
			}
		}
	}
	r.add("%d crashes, the third at %.4f s; later than %s after it, %d retries reached leaves", len(crashes), r.since(crashes[2]), contactWindow, len(late))
	if len(late) > permittedRetries {
		return fmt.Errorf("%w: BUDGET: a request that crashes its leaves reached leaves in %d retries later than %s after the third crash; %d crashes in all",
			errBroken, len(late), contactWindow, len(crashes))
	}
	return nil
}
