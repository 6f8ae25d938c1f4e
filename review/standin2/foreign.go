package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// laterRequests is the number of requests on each route that are counted; the rule asks for 20 or more.
	laterRequests = 60
	// foreignWait lies between the foreign heartbeats and the first counted request.
	foreignWait = contactWindow + time.Second
	// laterShare is the share of the first routes' success that later routes must reach.
	laterShare = 0.25
)

// foreign: another writer sends a heartbeat for each leaf of the service of a later route. Its service is in no
// configuration, its id is new, and its address is that of the leaf.
func foreign(r *record, trouble bool) error {
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
	leaves := make(map[string][]*leaf)
	for _, name := range []string{"first", "later"} {
		for i, zone := range zones {
			id := fmt.Sprintf("i-%s-%d", name, i+1)
			l := &leaf{name: id, id: id, service: name, zone: zone, work: 5 * time.Millisecond, deployment: d, record: r}
			if err := l.serve(); err != nil {
				return err
			}
			defer l.end()
			leaves[name] = append(leaves[name], l)
		}
	}
	var routes []route
	services := []service{{Name: "first", HealthPath: "/health", MaxConns: 100, Protocol: "h1", ColdStartS: 1}, {Name: "later", HealthPath: "/health", MaxConns: 100, Protocol: "h1", ColdStartS: 1}}
	o := newOperator(d)
	var counter atomic.Int64
	var clients []*client
	for _, h := range d.of(roleEntry) {
		clients = append(clients, newClient(d.address(h, d.callerPort), r, 2*time.Second, &counter))
	}
	for _, name := range []string{"first", "later"} {
		routes = append(routes, route{
			Name: name, Host: "a.example", PathPrefix: "/" + name + "/", RouteType: "safe", TimeoutMS: 2000, TargetLatencyMS: 200, Priority: 1, Service: name, MaxAttempts: 2,
		})
		if err := o.configure(routes, services, orderTime); err != nil {
			return err
		}
		for _, c := range clients {
			if !c.await("a.example", "/"+name+"/x", 20*time.Second) {
				return errNotServing
			}
		}
	}
	if trouble {
		for i, l := range leaves["later"] {
			if err := sendForeign(d, i, l); err != nil {
				return err
			}
		}
	}
	time.Sleep(foreignWait)
	return compareRoutes(r, clients)
}

// sendForeign sends a heartbeat that does not come from a leaf.
func sendForeign(d *deployment, number int, l *leaf) error {
	controls := d.of(roleControl)
	target := d.address(controls[number%len(controls)], d.controlPort)
	body, err := json.Marshal(map[string]any{
		"service": "nobody", "address": l.address, "zone": l.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/instances/odd-%d", number+1)
	_, err = put(target, path, body)
	d.record.add("another writer: PUT %s %s: error %v", path, body, err)
	return nil
}

// compareRoutes sends requests on both routes and compares how often they succeed.
func compareRoutes(r *record, clients []*client) error {
	served := make(map[string]int)
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range laterRequests {
		for _, name := range []string{"first", "later"} {
			running.Go(func() {
				if clients[i%len(clients)].send(http.MethodGet, "a.example", "/"+name+"/x")/100 == 2 {
					mu.Lock()
					served[name]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	r.add("of %d requests each, %d served on the first route and %d on the later one", laterRequests, served["first"], served["later"])
	if float64(served["later"]) < laterShare*float64(served["first"]) {
		return fmt.Errorf("%w: CONFIG: of %d requests each, %d served on the first route and %d on the later one", errBroken, laterRequests, served["first"], served["later"])
	}
	return nil
}
