package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// contactWindow and recovery are bounds of the small site files.
	contactWindow = 4 * time.Second
	recovery      = 12 * time.Second
	poisonPath    = "/one/7f3a"
	// maxRetries is the number of retries that the rule permits.
	maxRetries = 3
)

// crashers are leafs that are crashed by one request, as the page on leafs describes it: each leaf that begins to run it ends, and
// is back after some seconds.
type crashers struct {
	d  *deployment
	mu sync.Mutex
	// leafs holds the present incarnation of each leaf.
	leafs map[string]*leaf
	// reached holds when each attempt of the request first reached a leaf, by its id.
	reached map[string]time.Time
	crashes []time.Time
	closed  bool
}

func newCrashers(d *deployment, copies int) (*crashers, error) {
	c := &crashers{d: d, leafs: make(map[string]*leaf), reached: make(map[string]time.Time)}
	for i := range copies {
		if err := c.start(leafName(i), c.d.leafAddress(i), []string{"a", "b", "c"}[i%3]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *crashers) start(id, address, zone string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	l, err := startLeaf(c.d, id, "files", address, zone, c.handle)
	if err != nil {
		return err
	}
	c.leafs[id] = l
	return nil
}

func (c *crashers) handle(a *arrival) verdict {
	l := a.leaf
	if !strings.HasPrefix(a.path, poisonPath) {
		return verdict{work: 3 * time.Millisecond, body: []byte("records of " + a.path)}
	}
	c.mu.Lock()
	if _, ok := c.reached[a.id]; !ok {
		c.reached[a.id] = a.at
	}
	c.crashes = append(c.crashes, a.at)
	c.mu.Unlock()
	c.d.record.line("leaf %s: begins to run %s and crashes", l.id, a.id)
	l.crash()
	time.AfterFunc(2*time.Second, func() {
		if err := c.start(l.id, l.address, l.zone); err != nil {
			c.d.record.line("error: leaf %s does not start again: %v", l.id, err)
		}
	})
	return verdict{reset: true}
}

func (c *crashers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.leafs {
		l.crash()
	}
}

// thirdCrash returns when the request crashed its third leaf, and false before that.
func (c *crashers) thirdCrash() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < maxRetries {
		return time.Time{}, false
	}
	return c.crashes[maxRetries-1], true
}

// playPoison sends a request that crashes leafs until it is refused, has all processes killed at the same moment, and sends it
// again after the recovery.
func playPoison(r *record, trouble bool) result {
	d, err := newDeployment(r, []string{"a", "b", "c"}, 3, 6, "")
	if err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	leafs, err := newCrashers(d, 12)
	if err != nil {
		r.line("error: %v", err)
		return unplayed
	}
	defer leafs.close()
	c := config{Version: 7, Limits: siteLimits, Services: []serviceConfig{service("files", 110)}}
	c.Routes = []routeConfig{{Name: "one", Host: "x.example", PathPrefix: "/one/", RouteType: "safe", TimeoutMS: 2500, TargetLatencyMS: 250, Priority: 2, Service: "files", MaxAttempts: 2}}
	if !d.configure(c, 15*time.Second) || !d.awaitReady(10*time.Second) {
		return unplayed
	}
	time.Sleep(3 * time.Second)
	poison := request{method: http.MethodGet, host: "x.example", path: poisonPath, deadline: 2500 * time.Millisecond}
	// The request comes from one caller, who sends it again at another machine as soon as it has failed.
	refused := 0
	for i := 0; refused < 8 && i < 60; i++ {
		if a := d.attempt(d.entries[i%len(d.entries)], poison); a.status == http.StatusServiceUnavailable {
			refused++
			time.Sleep(100 * time.Millisecond)
		}
	}
	third, ok := leafs.thirdCrash()
	if !ok || refused < 8 {
		r.line("the request did not crash three leafs, or was not refused")
		return unplayed
	}
	time.Sleep(contactWindow)
	if trouble {
		r.line("platform: all processes are killed")
		for _, h := range d.hosts() {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range d.hosts() {
			h.kill()
		}
		time.Sleep(time.Second)
		for _, h := range d.hosts() {
			if err := d.writeSettings(h, false); err != nil {
				return unplayed
			}
			if err := h.start(); err != nil {
				return unplayed
			}
		}
		r.line("platform: all processes are started")
	}
	time.Sleep(recovery)
	if !d.awaitReady(10 * time.Second) {
		return unplayed
	}
	ok = true
	for i, h := range d.entries {
		a := d.attempt(h, request{method: http.MethodGet, host: "x.example", path: fmt.Sprintf("/one/%d", i), deadline: 2500 * time.Millisecond})
		ok = ok && a.status == http.StatusOK
	}
	if !ok {
		r.line("a host does not serve")
		return unplayed
	}
	for i := range 30 {
		d.attempt(d.entries[i%len(d.entries)], poison)
		if i >= 12 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	late := 0
	for id, at := range leafs.reached {
		if at.Sub(third) > contactWindow {
			late++
			r.line("retry %s reached a leaf %s after the third crash", id, at.Sub(third).Round(time.Millisecond))
		}
	}
	r.line("%d retries reached leafs later than %s after the third crash; the rule permits %d", late, contactWindow, maxRetries)
	if late > maxRetries {
		return broken
	}
	return held
}
