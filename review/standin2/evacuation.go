package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the users' pages, and the times of the case.
const (
	contactWindow  = 4 * time.Second
	evacuationTime = 5 * time.Second
	orderTime      = 10 * time.Second
	// freezeTime is how long the entry host stands still, as node_freeze of the site file.
	freezeTime = 4 * time.Second
	// silenceTime is how long after the freeze the zone is evacuated: the control host has then ended the stream of the frozen
	// host, which finds no order in its receive buffer when it wakes.
	silenceTime = 2200 * time.Millisecond
	// observeTime is how long requests are sent after the entry host counts as in touch again.
	observeTime = 8 * time.Second
	// snapshotLine is the log event of a control host that has taken a snapshot of its log.
	snapshotLine = `event="4009"`
)

var (
	errNotServing  = errors.New("the system does not serve")
	errNoSnapshot  = errors.New("the control hosts took no snapshot when expected")
	errNothingSent = errors.New("no request was served after the trouble")
)

// evacuation: an entry host stands still while a zone is evacuated and all control processes are killed and started again.
// The evacuation is the last order before the control hosts have taken a snapshot of their log.
func evacuation(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	zones := []string{"z-a", "z-b", "z-c"}
	for _, zone := range zones {
		d.add(roleControl, zone)
	}
	entry := d.add(roleEntry, "z-a")
	if err := d.startAll(); err != nil {
		return err
	}
	var leaves []*leaf
	for i, zone := range zones[:2] {
		name := fmt.Sprintf("i-%d", i+1)
		l := &leaf{name: name, id: name, service: "svc", zone: zone, work: 5 * time.Millisecond, deployment: d, record: r}
		if err := l.serve(); err != nil {
			return err
		}
		defer l.end()
		leaves = append(leaves, l)
	}
	routes := []route{{
		Name: "r", Host: "a.example", PathPrefix: "/a/", RouteType: "safe", TimeoutMS: 2000, TargetLatencyMS: 200, Priority: 1, Service: "svc", MaxAttempts: 2,
	}}
	services := []service{{Name: "svc", HealthPath: "/health", MaxConns: 100, Protocol: "h1", ColdStartS: 3}}
	o := newOperator(d)
	change := func() error { return o.configure(routes, services, orderTime) }
	if err := change(); err != nil {
		return err
	}
	var counter atomic.Int64
	c := newClient(d.address(entry, d.callerPort), r, 2*time.Second, &counter)
	if !c.await("a.example", "/a/x", 20*time.Second) {
		return errNotServing
	}
	if err := alignSnapshot(d, change); err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go c.run("a.example", "/a/x", 50*time.Millisecond, stop, &running)
	defer running.Wait()
	defer sync.OnceFunc(func() { close(stop) })()
	time.Sleep(contactWindow)
	return playEvacuation(d, o, c, entry, leaves[0], trouble)
}

// snapshots returns the least number of snapshots that a control host has taken.
func snapshots(d *deployment) int {
	least := -1
	for _, h := range d.of(roleControl) {
		if n := h.logged(snapshotLine); least < 0 || n < least {
			least = n
		}
	}
	return least
}

// alignSnapshot sends changes of the configuration until the next order is the one after which control hosts take a
// snapshot of their log. The log holds 32 records between two snapshots.
func alignSnapshot(d *deployment, change func() error) error {
	const records = 32
	for range 2 * records {
		if err := change(); err != nil {
			return err
		}
		time.Sleep(150 * time.Millisecond)
		if snapshots(d) == 0 {
			continue
		}
		for range records - 1 {
			if err := change(); err != nil {
				return err
			}
		}
		return nil
	}
	return errNoSnapshot
}

func playEvacuation(d *deployment, o *operator, c *client, entry *host, evacuated *leaf, trouble bool) error {
	r := d.record
	before := snapshots(d)
	if trouble {
		d.signal(entry, syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(silenceTime)
	if err := o.order(http.MethodPost, "/evacuation/"+evacuated.zone, nil, orderTime); err != nil {
		return err
	}
	acknowledged := time.Now()
	r.add("the evacuation of %s is acknowledged", evacuated.zone)
	time.Sleep(500 * time.Millisecond)
	if snapshots(d) != before+1 {
		return errNoSnapshot
	}
	if trouble {
		for _, h := range d.of(roleControl) {
			d.signal(h, syscall.SIGKILL)
		}
		for _, h := range d.of(roleControl) {
			d.kill(h)
		}
		for _, h := range d.of(roleControl) {
			if err := d.start(h, false); err != nil {
				return err
			}
		}
	}
	sleepUntil(frozen.Add(freezeTime))
	if trouble {
		d.signal(entry, syscall.SIGCONT)
	}
	// From here on the entry host and the control hosts run undisturbed: it is in touch after contactWindow.
	inTouch := time.Now().Add(contactWindow)
	sleepUntil(inTouch)
	if late := acknowledged.Add(evacuationTime); late.After(inTouch) {
		inTouch = late
	}
	servedBefore := c.served.Load()
	time.Sleep(observeTime)
	if c.served.Load() == servedBefore {
		return errNothingSent
	}
	count := 0
	for _, a := range evacuated.taken() {
		if a.at.After(inTouch) {
			count++
		}
	}
	r.add("%d requests served in the last %s, %d run by the leaf of the evacuated zone", c.served.Load()-servedBefore, observeTime, count)
	if count > 0 {
		return fmt.Errorf("%w: EVAC: %d requests reached a leaf of %s from %.1f s after its evacuation was acknowledged on", errBroken, count, evacuated.zone, inTouch.Sub(acknowledged).Seconds())
	}
	return nil
}
