package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has reached a leaf and was run.
type arrival struct {
	at   time.Time
	id   string
	path string
	leaf string
}

// leaf is a stand-in backend server that follows the users' pages: it announces itself, checks Expect-Instance, echoes
// Request-Id and signs its answers.
type leaf struct {
	// name begins the ids of the incarnations, and first is the id of the first one.
	name, id, first string
	service, zone   string
	work            time.Duration
	cold            time.Duration
	deployment      *deployment
	record          *record
	// poison is the path of requests that crash the leaf once it has run them for its work time; the leaf is back after
	// recovery.
	poison   string
	recovery time.Duration
	// limit is the number of requests in one second above which the leaf crashes while it is cold; 0 means none.
	limit int

	address  string
	born     int64
	started  time.Time
	server   *http.Server
	stopping chan struct{}

	mu       sync.Mutex
	sequence int
	next     string
	arrivals []arrival
	crashes  []time.Time
	down     bool
	closed   bool
}

// serve starts the leaf on its address, or on a free port if it has none yet.
func (l *leaf) serve() error {
	if l.address == "" {
		l.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	l.started = time.Now()
	l.born, l.sequence, l.next = l.started.UnixMilli(), 0, ""
	if l.first == "" {
		l.first = l.id
	}
	l.stopping = make(chan struct{})
	l.server = &http.Server{Handler: http.HandlerFunc(l.answer)}
	go func() { _ = l.server.Serve(listener) }()
	go l.beat(l.stopping)
	l.record.add("leaf %s of %s starts at %s", l.id, l.service, l.address)
	return nil
}

// crashAndRecover crashes the leaf unless it is down already. Some seconds later it is back with a new name.
func (l *leaf) crashAndRecover() {
	l.mu.Lock()
	if l.down || l.closed {
		l.mu.Unlock()
		return
	}
	l.down = true
	l.crashes = append(l.crashes, time.Now())
	number := len(l.crashes)
	l.mu.Unlock()
	l.crash()
	time.Sleep(l.recovery)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.down = false
	l.id = fmt.Sprintf("%s-%d", l.name, number)
	if err := l.serve(); err != nil {
		l.record.add("leaf %s does not start: %s", l.id, err)
	}
}

// end stops the leaf for good.
func (l *leaf) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if !l.down {
		l.crash()
	}
}

// crash closes the leaf and all its connections.
func (l *leaf) crash() {
	close(l.stopping)
	_ = l.server.Close()
	l.record.add("leaf %s crashes", l.id)
}

func (l *leaf) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != l.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{at: now, id: id, path: r.URL.Path, leaf: l.id})
	l.mu.Unlock()
	l.record.add("leaf %s runs %s", l.id, id)
	if l.overloaded(now) {
		l.record.add("leaf %s is cold and has got more than %d requests within %s", l.id, l.limit, countedWindow)
		go l.crashAndRecover()
		<-r.Context().Done()
		return
	}
	time.Sleep(l.work)
	if l.poison != "" && r.URL.Path == l.poison {
		go l.crashAndRecover()
		<-r.Context().Done() // Ends with the connection.
		return
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s.%d", l.id, id, now.UnixNano()))
	_, _ = w.Write([]byte("body of " + id))
}

// overloaded reports whether the leaf is cold and has got more requests within a second than it bears.
func (l *leaf) overloaded(now time.Time) bool {
	if l.limit == 0 || l.coldLeft() == 0 {
		return false
	}
	count := 0
	for _, a := range l.taken() {
		if a.leaf == l.id && now.Sub(a.at) <= countedWindow {
			count++
		}
	}
	return count > l.limit
}

// coldLeft returns how long the leaf stays cold.
func (l *leaf) coldLeft() time.Duration {
	return max(0, l.cold-time.Since(l.started))
}

// beat sends heartbeats until the leaf stops.
func (l *leaf) beat(stopping chan struct{}) {
	for n := 0; ; n++ {
		l.announce(n)
		select {
		case <-stopping:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// announce sends one heartbeat, to one control host after the other until it is acknowledged.
func (l *leaf) announce(n int) {
	controls := l.deployment.of(roleControl)
	l.mu.Lock()
	l.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": l.coldLeft().Milliseconds(), "seq": l.sequence, "born": l.born,
	})
	targets := []string{l.next}
	l.mu.Unlock()
	for i := range controls {
		targets = append(targets, l.deployment.address(controls[(n+i)%len(controls)], l.deployment.controlPort))
	}
	for _, target := range targets {
		if target == "" {
			continue
		}
		next, err := put(target, "/instances/"+l.id, body)
		l.mu.Lock()
		l.next = next
		l.mu.Unlock()
		if err == nil {
			return
		}
	}
}

var beatClient = &http.Client{Timeout: time.Second}

// put sends a heartbeat and returns the address for the later ones.
func put(target, path string, body []byte) (string, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := beatClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	var reply struct {
		HeartbeatAddress string `json:"heartbeatAddress"`
	}
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return reply.HeartbeatAddress, nil
}

// taken returns the requests that the leaf has run.
func (l *leaf) taken() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}
