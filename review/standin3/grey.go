package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// All leafs of one service fail greyFailing of their requests for greyFor: the dose of the variant reset in the site files.
	greyFailing = 0.45
	greyFor     = 6500 * time.Millisecond
	// ticketEvery and lookupEvery are the times between two requests of a kind.
	ticketEvery = 100 * time.Millisecond
	lookupEvery = 100 * time.Millisecond
	// dayTime is the length of the traffic.
	dayTime = 95 * time.Second
	// starvedDivisor is that of the rule: a kind may not be served less than a quarter as often as all.
	starvedDivisor = 4
)

// tally counts the requests of one kind, and those that were served by one of their attempts.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// ask sends a request as the page on answers says. It is sent once more at another host: a safe one after any failure, an unsafe one
// after a refusal, after the time that the answer names, which is honoured up to a third of the time left.
func (d *deployment) ask(n int, q request) bool {
	began, limit := time.Now(), q.deadline
	for i := range 2 {
		q.deadline = limit - time.Since(began)
		if q.deadline <= 0 {
			return false
		}
		a := d.attempt(d.entries[(n+i)%len(d.entries)], q)
		if a.err == nil && a.status/100 == 2 && a.header.Get("Server-Stamp") != "" {
			return true
		}
		if q.method == http.MethodPost && a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return false
		}
		left := limit - time.Since(began)
		if wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			time.Sleep(min(time.Duration(wait*float64(time.Second)), left/3))
		}
	}
	return false
}

// playGrey lets leafs fail part of their requests for some seconds while two kinds of requests are sent: lookups of different records
// and one unsafe request that is the same each time, such as a request for the next number.
func playGrey(r *record, trouble bool) result {
	d, err := newDeployment(r, []string{"a", "b", "c"}, 3, 9, "")
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
	c := config{Version: 7, Limits: siteLimits, Services: []serviceConfig{service("files", 110)}}
	route := routeConfig{Host: "x.example", RouteType: "safe", TimeoutMS: 2500, TargetLatencyMS: 250, Priority: 2, Service: "files", MaxAttempts: 2}
	route.Name, route.PathPrefix = "lookup", "/lookup/"
	c.Routes = append(c.Routes, route)
	route.Name, route.PathPrefix, route.RouteType = "ticket", "/ticket/", "unsafe"
	c.Routes = append(c.Routes, route)
	if !d.configure(c, 15*time.Second) || !d.awaitReady(10*time.Second) {
		return unplayed
	}
	time.Sleep(3 * time.Second)
	var ticket, lookup tally
	var running sync.WaitGroup
	end := time.Now().Add(dayTime)
	send := func(every time.Duration, t *tally, next func(n int) request) {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				running.Go(func() {
					q := next(n)
					q.host, q.deadline = "x.example", 2500*time.Millisecond
					t.add(d.ask(n*4, q))
				})
				time.Sleep(every)
			}
		})
	}
	send(ticketEvery, &ticket, func(int) request { return request{method: http.MethodPost, path: "/ticket/next", body: []byte("{}")} })
	send(lookupEvery, &lookup, func(n int) request { return request{method: http.MethodGet, path: fmt.Sprintf("/lookup/%d", n)} })
	time.Sleep(5 * time.Second)
	if trouble {
		r.line("leafs: all %d fail %.2f of their requests by a reset", len(leafs), greyFailing)
		for _, l := range leafs {
			l.setFailing(greyFailing)
		}
	}
	time.Sleep(greyFor)
	for _, l := range leafs {
		l.setFailing(0)
	}
	r.line("leafs: all are sound")
	running.Wait()
	all := float64(ticket.served+lookup.served) / float64(max(ticket.sent+lookup.sent, 1))
	r.line("ticket: %d of %d served; lookup: %d of %d served", ticket.served, ticket.sent, lookup.served, lookup.sent)
	r.line("ticket is served %.3f of the time, all requests %.3f; the rule asks for a quarter as often: %.3f", ticket.share(), all, all/starvedDivisor)
	if ticket.share() < all/starvedDivisor {
		return broken
	}
	return held
}
