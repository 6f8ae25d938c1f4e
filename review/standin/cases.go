package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	firstPrefix  = "/records/"
	secondPrefix = "/added/"
	deadline     = 3 * time.Second
	// margin is added to each bound before a request is judged.
	margin = 500 * time.Millisecond
)

// begin starts leaves, configures the system and waits until it serves.
func begin(s *system, perZone int, crash crashMode, onArrival func(*leaf, *http.Request)) error {
	for zone := range zones {
		for n := range perZone {
			if _, err := s.addLeaf(serviceName, zone, n, crash, onArrival); err != nil {
				return err
			}
		}
	}
	if _, err := s.configure(newConfiguration(1, firstPrefix)); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for _, e := range s.entries {
		if got := s.ask(e, firstPrefix+"1", deadline); got.status != http.StatusOK {
			return fmt.Errorf("%s does not serve before the disruption", e.name)
		}
	}
	return nil
}

// unreadableHeartbeat: a heartbeat whose id cannot be read reaches the control hosts. A configuration that is acknowledged
// later must be in force on all entry hosts in time.
func unreadableHeartbeat(s *system, trouble bool) (bool, error) {
	if err := begin(s, 1, crashNever, nil); err != nil {
		return false, err
	}
	if trouble {
		version := "v1"
		for i, c := range s.controls {
			body := heartbeat{
				Service: serviceName, Address: fmt.Sprintf("%s:%d", s.ip(0, 200), s.ports.front), Zone: zones[0], Version: &version, Slots: 2,
				State: "ready", Seq: i + 1, Born: time.Now().UnixMilli(),
			}
			status, err := s.sendHeartbeat(c, "i-%FF%FE", body)
			s.add("another writer: PUT /instances/i-%%FF%%FE to %s: %d %v", c.name, status, err)
		}
	}
	time.Sleep(contactWindow)
	acknowledged, err := s.configure(newConfiguration(2, firstPrefix, secondPrefix))
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(configApply + margin)))
	broken := false
	for range 5 {
		for _, e := range s.entries {
			if !s.ready(e) {
				s.add("%s is not ready", e.name)
				continue
			}
			got := s.ask(e, secondPrefix+"1", deadline)
			broken = broken || got.status == http.StatusNotFound
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// arrivals counts, for the requests that crash leaves, how many leaves have crashed and which retries reached leaves late.
type arrivals struct {
	mu      sync.Mutex
	crashes int
	third   time.Time
	// requests maps each request that reached a leaf to the time of its first arrival.
	requests map[string]time.Time
}

func (a *arrivals) note(l *leaf, r *http.Request) {
	if l.crash == crashNever || !strings.Contains(r.URL.Path, crashPath) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.crashes++; a.crashes == 3 {
		a.third = now
	}
	id := r.Header.Get("Request-Id")
	if _, ok := a.requests[id]; !ok {
		a.requests[id] = now
	}
}

// late returns the number of retries that reached leaves later than the contact window after the third crash, without those
// that arrived while hosts were not in touch.
func (a *arrivals) late(untouched func(time.Time) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.requests {
		if !a.third.IsZero() && at.Sub(a.third) > contactWindow && !untouched(at) {
			count++
		}
	}
	return count
}

// maxLateRetries is the number of late retries that may reach leaves.
const maxLateRetries = 3

// crashInAnswer: a request crashes each leaf that begins to run it, when the leaf has sent the first part of its answer.
func crashInAnswer(s *system, trouble bool) (bool, error) {
	mode := crashMidway
	if !trouble {
		mode = crashNever
	}
	seen := &arrivals{requests: make(map[string]time.Time)}
	if err := begin(s, 2, mode, seen.note); err != nil {
		return false, err
	}
	for i := range 10 {
		s.ask(s.entries[i%len(s.entries)], firstPrefix+"crash", deadline)
		time.Sleep(contactWindow + margin)
	}
	late := seen.late(func(time.Time) bool { return false })
	s.add("%d leaves crashed; %d retries reached leaves later than %s after the third crash; allowed %d", seen.crashes, late, contactWindow, maxLateRetries)
	return late > maxLateRetries, nil
}

// crashThenRestart: a request crashes each leaf that begins to run it. All processes of the system are killed once and come
// back within a second.
func crashThenRestart(s *system, trouble bool) (bool, error) {
	seen := &arrivals{requests: make(map[string]time.Time)}
	if err := begin(s, 2, crashSilent, seen.note); err != nil {
		return false, err
	}
	send := func(count int) {
		for i := range count {
			s.ask(s.entries[i%len(s.entries)], firstPrefix+"crash", deadline)
			time.Sleep(contactWindow + margin)
		}
	}
	send(5)
	killed := time.Now()
	if trouble {
		if err := s.killAll(); err != nil {
			return false, err
		}
		if err := s.awaitReady(); err != nil {
			return false, err
		}
	}
	back := time.Now().Add(2 * contactWindow)
	time.Sleep(time.Until(back.Add(margin)))
	send(5)
	late := seen.late(func(at time.Time) bool { return at.After(killed) && at.Before(back) })
	s.add("%d leaves crashed; %d retries reached leaves later than %s after the third crash; allowed %d", seen.crashes, late, contactWindow, maxLateRetries)
	return late > maxLateRetries, nil
}

// partialHeartbeat: a heartbeat without the field version claims that a leaf of one service belongs to another one. The leaf
// must get no requests for that other service.
func partialHeartbeat(s *system, trouble bool) (bool, error) {
	var foreign atomic.Int64
	note := func(l *leaf, r *http.Request) {
		if l.service == otherService && strings.HasPrefix(r.URL.Path, firstPrefix) {
			foreign.Add(1)
			s.add("leaf at %s of service %s runs a request of a route to service %s", l.address, l.service, serviceName)
		}
	}
	other, err := s.addLeaf(otherService, 1, 50, crashNever, note)
	if err != nil {
		return false, err
	}
	for _, zone := range []int{0, 2} {
		if _, err := s.addLeaf(serviceName, zone, 0, crashNever, note); err != nil {
			return false, err
		}
	}
	if err := begin(s, 0, crashNever, note); err != nil {
		return false, err
	}
	if trouble {
		body := heartbeat{
			Service: serviceName, Address: other.address, Zone: other.zone, Slots: 4, State: "ready", Seq: 1, Born: time.Now().UnixMilli(),
		}
		status, err := s.sendHeartbeat(s.controls[0], other.name, body)
		s.add("another writer: PUT /instances/%s without version to %s: %d %v", other.name, s.controls[0].name, status, err)
	}
	time.Sleep(contactWindow)
	for range 20 {
		for _, e := range s.entries {
			s.ask(e, firstPrefix+"1", deadline)
		}
		time.Sleep(4 * pollInterval)
	}
	s.add("%d requests of routes to %s were run by the leaf of %s; allowed 0", foreign.Load(), serviceName, otherService)
	return foreign.Load() > 0, nil
}

const (
	// lateOrderRounds is the number of control hosts that are frozen one after the other.
	lateOrderRounds = 15
	// lateOrderLeaves is the number of leaves in each zone.
	lateOrderLeaves = 10
	// thawDelay is the time from the acknowledgement of the newest order to the end of the freeze.
	thawDelay = 100 * time.Millisecond
)

// lateOrder: a control host is frozen while it is asked to end evacuations; another one acknowledges these orders, and the
// zones are evacuated again. The frozen host must not end the newer evacuations when it wakes.
func lateOrder(s *system, trouble bool) (bool, error) {
	evacuated := zones[1:]
	var mu sync.Mutex
	last := make(map[string]time.Time)
	note := func(l *leaf, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		last[l.zone] = time.Now()
	}
	if err := begin(s, lateOrderLeaves, crashNever, note); err != nil {
		return false, err
	}
	// orders sends one order for each zone, all at the same time, and returns when the last one was acknowledged.
	orders := func(method string, first int) (time.Time, error) {
		results := make(chan error, len(evacuated))
		for _, zone := range evacuated {
			go func() {
				_, err := s.order(method, "/evacuation/"+zone, nil, first)
				results <- err
			}()
		}
		var failed error
		for range evacuated {
			failed = errors.Join(failed, <-results)
		}
		return time.Now(), failed
	}
	broken := false
	for round := 0; round < lateOrderRounds && !broken; round++ {
		frozen := s.controls[round%len(s.controls)]
		if _, err := orders(http.MethodPost, round+1); err != nil {
			return false, err
		}
		if trouble {
			s.signal(frozen, syscall.SIGSTOP)
		}
		if _, err := orders(http.MethodDelete, round); err != nil {
			return false, err
		}
		acknowledged, err := orders(http.MethodPost, round+1)
		if err != nil {
			return false, err
		}
		time.Sleep(thawDelay)
		if trouble {
			s.signal(frozen, syscall.SIGCONT)
		}
		time.Sleep(time.Until(acknowledged.Add(max(evacuation, thawDelay+contactWindow) + margin)))
		judged := time.Now()
		for range 5 {
			for _, e := range s.entries {
				s.ask(e, firstPrefix+"1", deadline)
			}
		}
		mu.Lock()
		for _, zone := range evacuated {
			if last[zone].After(judged) {
				broken = true
				s.add("round %d: a request reached %s %s after the acknowledgement of its evacuation; allowed %s", round, zone, last[zone].Sub(acknowledged), evacuation)
			}
		}
		mu.Unlock()
		if _, err := orders(http.MethodDelete, round+1); err != nil {
			return false, err
		}
	}
	return broken, nil
}

// coldBound is the number of requests that a cold leaf may get in one second from all entry hosts together: coldPerS times
// coldOvershoot plus coldSlack.
const coldBound = coldPerS*1.5 + 5

// coldLeaf: a leaf becomes cold while clients press.
func coldLeaf(s *system, trouble bool) (bool, error) {
	var mu sync.Mutex
	var times []time.Time
	var coldUntil time.Time
	note := func(_ *leaf, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().Before(coldUntil) {
			times = append(times, time.Now())
		}
	}
	only, err := s.addLeaf(serviceName, 0, 0, crashNever, note)
	if err != nil {
		return false, err
	}
	if err := begin(s, 0, crashNever, note); err != nil {
		return false, err
	}
	end := time.Now().Add(coldStart)
	if trouble {
		only.mu.Lock()
		only.coldUntil = end
		only.mu.Unlock()
		if !only.sendHeartbeat(0) {
			return false, errors.New("the heartbeat was not acknowledged")
		}
		s.add("leaf %s says that it is cold for %s", only.name, coldStart)
		time.Sleep(4 * pollInterval)
		mu.Lock()
		coldUntil = end
		mu.Unlock()
	}
	var clients sync.WaitGroup
	for _, e := range s.entries {
		for range 2 {
			clients.Go(func() {
				for time.Now().Before(end) {
					s.ask(e, firstPrefix+"1", deadline)
					time.Sleep(pollInterval / 5)
				}
			})
		}
	}
	clients.Wait()
	most := 0
	mu.Lock()
	defer mu.Unlock()
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	s.add("the cold leaf got %d requests in one second at most; allowed %.0f", most, coldBound)
	return float64(most) > coldBound, nil
}
