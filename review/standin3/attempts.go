package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// records is the number of records in a part.
	records = 20
	// manyAttempts is what an operator writes who does not want to limit the attempts: the largest 32-bit integer.
	manyAttempts = 2147483647
	// maxOwnEnds and minMachines are those of the rule: processes that end by themselves three times, on a tenth of the machines in use
	// and two at least.
	maxOwnEnds, minMachines = 3, 2
)

// part returns a part of a gathered answer.
func part(a *arrival) verdict {
	body := make([]byte, 16*records)
	for i := range body {
		body[i] = byte(len(a.leaf.id)*i + int(a.leaf.id[len(a.leaf.id)-1]))
	}
	return verdict{work: 3 * time.Millisecond, body: body}
}

// playAttempts changes the configuration to one whose route does not limit the attempts in practice, and sends requests on it.
func playAttempts(r *record, trouble bool) result {
	d, err := newDeployment(r, []string{"a", "b", "c"}, 3, 3, "")
	if err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	c := config{Version: 7, Limits: siteLimits}
	var shards []string
	for i := range 10 {
		name := fmt.Sprintf("shard%d", i)
		shards = append(shards, name)
		c.Services = append(c.Services, service(name, 26))
		for j := range 2 {
			l, err := startLeaf(d, fmt.Sprintf("i-%d%d", i, j), name, d.leafAddress(2*i+j), []string{"a", "b"}[j], part)
			if err != nil {
				r.line("error: %v", err)
				return unplayed
			}
			defer l.crash()
		}
	}
	c.Routes = []routeConfig{{Name: "all", Host: "x.example", PathPrefix: "/all/", RouteType: "safe", TimeoutMS: 800, TargetLatencyMS: 80, Priority: 1, Gather: shards, MaxAttempts: 2, TopK: 10, MinCoverage: 0.8}}
	if !d.configure(c, 15*time.Second) || !d.awaitReady(10*time.Second) {
		return unplayed
	}
	time.Sleep(2 * time.Second)
	query := request{method: http.MethodGet, host: "x.example", path: "/all/2f", deadline: 800 * time.Millisecond}
	for i := range 6 {
		d.attempt(d.entries[i%3], query)
	}
	c.Version = 12
	if trouble {
		c.Routes[0].MaxAttempts = manyAttempts
	}
	if !d.configure(c, 15*time.Second) {
		return unplayed
	}
	time.Sleep(3 * time.Second)
	served := 0
	for i := range 60 {
		if x := d.attempt(d.entries[i%3], query); x.status == 200 {
			served++
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.line("%d of 60 requests were served", served)
	machines := 0
	for _, h := range d.entries {
		r.line("the process of %s ended by itself %d times", h.name, h.ownEnds())
		if h.ownEnds() >= maxOwnEnds {
			machines++
		}
	}
	r.line("on %d of %d machines, processes ended by themselves %d times or more; the rule permits it on less than %d", machines, len(d.hosts()), maxOwnEnds, minMachines)
	if machines >= minMachines {
		return broken
	}
	return held
}
