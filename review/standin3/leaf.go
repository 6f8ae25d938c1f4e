package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a leaf.
type arrival struct {
	at      time.Time
	leaf    *leaf
	id      string
	path    string
	from    string
	request *http.Request
	body    []byte
}

// verdict is what a leaf does with a request.
type verdict struct {
	work time.Duration
	// refuse is the status of a refusal without execution, 0 to run the request.
	refuse int
	status int
	header map[string]string
	body   []byte
	// reset drops the connection without an answer.
	reset bool
}

// leaf is a backend server as the pages describe it.
type leaf struct {
	d       *deployment
	id      string
	service string
	address string
	zone    string
	born    int64
	slots   int
	// handle decides on each request.
	handle func(a *arrival) verdict

	seq      atomic.Uint64
	mu       sync.Mutex
	state    string
	silent   bool
	listener net.Listener
	conns    map[net.Conn]bool
	stopped  chan struct{}
	running  int
	// failing is the share of requests that the leaf fails by a reset of their connections.
	failing float64
	// coldUntil is when the leaf is warm.
	coldUntil time.Time
	// interval is the time between two heartbeats, and phase that between the first two.
	interval, phase time.Duration
}

// leafOption changes a leaf before it starts.
type leafOption func(l *leaf)

func startLeaf(d *deployment, id, service, address, zone string, handle func(a *arrival) verdict, options ...leafOption) (*leaf, error) {
	l := &leaf{d: d, id: id, service: service, address: address, zone: zone, born: time.Now().UnixMilli(), slots: 8, handle: handle, state: "ready", conns: make(map[net.Conn]bool), stopped: make(chan struct{}), interval: time.Second, phase: time.Second}
	for _, o := range options {
		o(l)
	}
	var err error
	if l.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go l.accept()
	go l.beat()
	return l, nil
}

func (l *leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.serve(c)
	}
}

func (l *leaf) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !l.answer(c, r, body) || r.Close {
			return
		}
	}
}

// fails reports whether the leaf fails the next request.
func (l *leaf) fails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.Float64() < l.failing
}

// setFailing sets the share of requests that the leaf fails.
func (l *leaf) setFailing(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = share
}

func (l *leaf) answer(c net.Conn, r *http.Request, body []byte) bool {
	a := arrival{at: time.Now(), leaf: l, id: r.Header.Get("Request-Id"), path: r.URL.RequestURI(), from: c.RemoteAddr().String(), request: r, body: body}
	if r.URL.Path == "/health" {
		l.reply(c, 200, map[string]string{"Instance-Id": l.id, "Cold-Ms": strconv.FormatInt(l.coldLeft().Milliseconds(), 10)}, nil)
		return true
	}
	header := map[string]string{"Request-Id": a.id, "Server-Stamp": l.id + "." + a.id}
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != l.id {
		l.d.record.line("leaf %s: %s %s from %s: 421", l.id, r.Method, a.id, a.from)
		l.reply(c, 421, map[string]string{"Request-Id": a.id}, nil)
		return true
	}
	l.mu.Lock()
	l.running++
	running := l.running
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.running--
		l.mu.Unlock()
	}()
	v := l.handle(&a)
	if v.refuse == 0 && l.fails() {
		l.d.record.line("leaf %s: fails %s from %s by a reset", l.id, a.id, a.from)
		v.reset = true
	}
	for k, x := range v.header {
		header[k] = x
	}
	header["Server-Load"] = fmt.Sprintf("%d,0,%d", running, l.slots)
	if v.refuse != 0 {
		delete(header, "Server-Stamp")
		header["Not-Executed"] = "1"
		l.d.record.line("leaf %s: %s %s from %s: refused %d %v", l.id, r.Method, a.id, a.from, v.refuse, v.header)
		l.reply(c, v.refuse, header, nil)
		return true
	}
	l.d.record.line("leaf %s: runs %s %s %s from %s", l.id, r.Method, a.path, a.id, a.from)
	time.Sleep(v.work)
	if v.reset {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return false
	}
	status := v.status
	if status == 0 {
		status = 200
	}
	l.reply(c, status, header, v.body)
	return true
}

func (l *leaf) reply(c net.Conn, status int, header map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}

// beat sends heartbeats until the leaf has stopped.
func (l *leaf) beat() {
	address, pause := "", l.phase
	for {
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if !silent {
			address = l.heartbeat(address)
		}
		select {
		case <-l.stopped:
			return
		case <-time.After(pause):
			pause = l.interval
		}
	}
}

// heartbeat sends one heartbeat and returns the address for the next.
func (l *leaf) heartbeat(address string) string {
	l.mu.Lock()
	state := l.state
	l.mu.Unlock()
	cold := l.coldLeft().Milliseconds()
	body, _ := json.Marshal(map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots, "state": state,
		"coldLeftMs": cold, "seq": l.seq.Add(1), "born": l.born,
	})
	var to []string
	if address != "" {
		to = append(to, address)
	}
	for _, h := range l.d.controls {
		to = append(to, fmt.Sprintf("%s:%d", h.ip, controlPort))
	}
	for _, a := range to {
		status, answer := call(http.MethodPut, "http://"+a+"/instances/"+l.id, body)
		if status/100 != 2 {
			continue
		}
		if cold > 0 {
			l.d.record.line("leaf %s: cold for %d ms, acknowledged by %s", l.id, cold, a)
		}
		if state == "draining" {
			l.d.record.line("leaf %s: draining acknowledged by %s", l.id, a)
		}
		var reply struct {
			HeartbeatAddress string `json:"heartbeatAddress"`
		}
		_ = json.Unmarshal(answer, &reply)
		return strings.TrimSpace(reply.HeartbeatAddress)
	}
	return ""
}

// becomeCold makes the leaf cold for a time.
func (l *leaf) becomeCold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil = time.Now().Add(d)
}

// coldLeft returns how long the leaf stays cold, 0 if it is warm.
func (l *leaf) coldLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.coldUntil))
}

// crash ends the leaf as a killed process does.
func (l *leaf) crash() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// leafName returns the id of a leaf.
func leafName(n int) string { return fmt.Sprintf("i-%d", n) }

// startFiles starts the leafs of a service that returns records.
func (d *deployment) startFiles(count int) ([]*leaf, error) {
	var out []*leaf
	for i := range count {
		l, err := startLeaf(d, leafName(i), "files", d.leafAddress(i), []string{"a", "b", "c"}[i%3], func(a *arrival) verdict {
			return verdict{work: 5 * time.Millisecond, body: []byte("records of " + a.path)}
		})
		if err != nil {
			crashAll(out)
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// crashAll ends leafs.
func crashAll(leafs []*leaf) {
	for _, l := range leafs {
		l.crash()
	}
}
