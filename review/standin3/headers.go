package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// raisedHeader is the limit of the changed configuration, and longHeader the size of a header field within it.
	raisedHeader = 131072
	longHeader   = 90000
	shortHeader  = 9000
	// configApply is a bound of the small site files.
	configApply = 3 * time.Second
	// deniedSlack and deniedDivisor are those of the rule: 5 requests and one in 500 may be denied.
	deniedSlack, deniedDivisor = 5, 500
)

// playHeaders raises the limit on headers and sends requests within it.
func playHeaders(r *record, trouble bool) result {
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
	leafs, err := d.startFiles(3)
	if err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	defer crashAll(leafs)
	c := config{Version: 7, Services: []serviceConfig{service("files", 110)}, Limits: siteLimits}
	c.Routes = []routeConfig{{Name: "one", Host: "x.example", PathPrefix: "/one/", RouteType: "safe", TimeoutMS: 2500, TargetLatencyMS: 250, Priority: 2, Service: "files", MaxAttempts: 2}}
	if !d.configure(c, 15*time.Second) || !d.awaitReady(10*time.Second) {
		return unplayed
	}
	time.Sleep(contactWindow)
	sent, denied := 0, 0
	send := func(size int) {
		q := request{method: http.MethodGet, host: "x.example", path: "/one/2f", deadline: 2500 * time.Millisecond, header: map[string]string{"Filter": strings.Repeat("v", size)}}
		for i := range 30 {
			a := d.attempt(d.entries[i%len(d.entries)], q)
			sent++
			if a.status/100 == 3 || a.status/100 == 4 && a.header.Get("Server-Stamp") == "" && a.status != 408 && a.status != 421 && a.status != 429 {
				denied++
			}
		}
	}
	send(shortHeader)
	c.Version = 12
	size := shortHeader
	if trouble {
		size = longHeader
		c.Limits = map[string]int{"maxHeaderBytes": raisedHeader}
		for k, v := range siteLimits {
			if _, ok := c.Limits[k]; !ok {
				c.Limits[k] = v
			}
		}
	}
	if !d.configure(c, 15*time.Second) {
		return unplayed
	}
	time.Sleep(configApply + contactWindow)
	send(size)
	allowed := deniedSlack + sent/deniedDivisor
	r.line("%d of %d proper requests were denied; the rule permits %d", denied, sent, allowed)
	if denied > allowed {
		return broken
	}
	return held
}
