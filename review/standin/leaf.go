package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the body of a leaf's heartbeat.
type heartbeat struct {
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    *string `json:"version,omitempty"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMs int     `json:"coldLeftMs"`
	Seq        int     `json:"seq"`
	Born       int64   `json:"born"`
}

// leaf is a stand-in leaf. It is one incarnation at a time; after a crash it comes back with a new name.
type leaf struct {
	system        *system
	service, zone string
	address       string
	// crash decides what the leaf does with a request instead of answering it.
	crash crashMode

	mu        sync.Mutex
	name      string
	born      int64
	seq       int
	state     string
	down      bool
	server    *http.Server
	stopped   chan struct{}
	coldUntil time.Time
	onArrival func(l *leaf, r *http.Request)
}

// crashMode is what a leaf does with a request for a path that contains the word crash.
type crashMode int

const (
	// crashNever answers such a request like any other.
	crashNever crashMode = iota
	// crashSilent ends the leaf without a byte of an answer.
	crashSilent
	// crashMidway ends the leaf when it has sent the first part of its answer.
	crashMidway
)

// crashPath marks the requests that crash the leaves.
const crashPath = "/crash"

// downTime is how long a crashed leaf is away.
const downTime = 2 * time.Second

// addLeaf starts a leaf and its heartbeats.
func (s *system) addLeaf(service string, zone, number int, crash crashMode, onArrival func(*leaf, *http.Request)) (*leaf, error) {
	l := &leaf{
		system: s, service: service, zone: zones[zone], crash: crash, state: "ready", stopped: make(chan struct{}), onArrival: onArrival,
		address: fmt.Sprintf("%s:%d", s.ip(zone, 100+number), s.ports.front),
	}
	if err := l.begin(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.leaves = append(s.leaves, l)
	s.mu.Unlock()
	go l.beat()
	return l, nil
}

// begin starts a new incarnation.
func (l *leaf) begin() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.name, l.born, l.seq, l.down = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, false
	l.server = &http.Server{Handler: l}
	go func(server *http.Server) { _ = server.Serve(listener) }(l.server)
	l.system.add("leaf %s of %s in %s starts at %s", l.name, l.service, l.zone, l.address)
	return nil
}

func (l *leaf) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.stopped)
	if !l.down {
		_ = l.server.Close()
	}
}

// fall ends the incarnation without a word and brings the next one back later.
func (l *leaf) fall() {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return
	}
	l.down = true
	server, name := l.server, l.name
	l.mu.Unlock()
	l.system.add("leaf %s crashes", name)
	_ = server.Close()
	go func() {
		select {
		case <-time.After(downTime):
			if err := l.begin(); err != nil {
				l.system.add("leaf at %s does not come back: %v", l.address, err)
			}
		case <-l.stopped:
		}
	}()
}

// beat sends heartbeats, each time to another control host.
func (l *leaf) beat() {
	for i := rand.IntN(len(zones)); ; i++ {
		l.sendHeartbeat(i)
		select {
		case <-time.After(beatInterval):
		case <-l.stopped:
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to the control hosts in turn until one acknowledges it. It reports whether one did.
func (l *leaf) sendHeartbeat(first int) bool {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return false
	}
	l.seq++
	version := "v1"
	body := heartbeat{
		Service: l.service, Address: l.address, Zone: l.zone, Version: &version, Slots: 4, State: l.state, Seq: l.seq, Born: l.born,
		ColdLeftMs: int(max(0, time.Until(l.coldUntil)).Milliseconds()),
	}
	name := l.name
	l.mu.Unlock()
	for i := range zones {
		control := l.system.controls[(first+i)%len(zones)]
		if status, err := l.system.sendHeartbeat(control, name, body); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// sendHeartbeat sends one heartbeat to one control host. Path is the escaped id.
func (s *system) sendHeartbeat(control *host, path string, body heartbeat) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+s.controlAddress(control)+"/instances/"+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// ServeHTTP runs one request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	name := l.name
	l.mu.Unlock()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", name)
	if r.Header.Get("Expect-Instance") != name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.system.add("leaf %s runs %s %s", name, id, r.URL.Path)
	if l.onArrival != nil {
		l.onArrival(l, r)
	}
	if l.crash != crashNever && strings.Contains(r.URL.Path, crashPath) {
		l.crashOn(w)
		return
	}
	body := "answer of " + name + " to " + id + "\n"
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", name, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = fmt.Fprint(w, body)
}

// crashOn ends the leaf while it runs a request. The kernel closes the connections of a process that ends.
func (l *leaf) crashOn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if l.crash == crashMidway {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4000\r\n", w.Header().Get("Request-Id"))
	}
	_ = conn.Close()
	l.fall()
}
