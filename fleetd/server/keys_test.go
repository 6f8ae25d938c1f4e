package server_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/server"
	"lycheelift.example/lib/eventer"
	settings "lycheelift.example/schema/gen/settings/fleetd"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// site is a control host, two entry hosts and the leaf of four services, all in this process on loopback.
type site struct {
	t       *testing.T
	network string
	ports   [4]int // Of hosts, control, callers and readiness.
	folder  string

	mu sync.Mutex
	// headers holds the headers that leaves received, by target.
	headers map[string][]http.Header
}

func newSite(t *testing.T) *site {
	s := &site{t: t, network: fmt.Sprintf("127.%d.0", 100+os.Getpid()%100), folder: t.TempDir(), headers: make(map[string][]http.Header)}
	for i := range s.ports {
		l, err := net.Listen("tcp", s.address(1, 0))
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = l.Close() }()
		s.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return s
}

func (s *site) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.network, host, port) }

// start runs a host and returns the function that stops it.
func (s *site) start(host int, run func(context.Context, *server.Settings, func() time.Time) error, first bool) func() {
	in := settings.Fleet{
		Name: fmt.Sprintf("host-%d", host), Center: "a", Address: fmt.Sprintf("%s.%d", s.network, host), Ports: []int{s.ports[0], s.ports[0]},
		Seeds: []string{s.address(1, s.ports[1])}, First: first, Data: s.folder, Tolerance: 1, Portion: 1, Gatherers: 1,
		Listen: settings.Addresses{Control: s.address(host, s.ports[1]), Callers: s.address(host, s.ports[2]), Ready: s.address(host, s.ports[3])},
		Bounds: settings.Bounds{Grace: "1s", Window: "10s", Slack: 58, Cold: 1, Strict: true, Revoke: "1s", Quotawindow: "0s"},
	}
	parsed, err := server.Parse(in)
	qt.Assert(s.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		qt.Check(s.t, run(ctx, parsed, server.SteadyClock()), qt.IsNil)
	}()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			<-done
		})
	}
	s.t.Cleanup(stop)
	return stop
}

// ServeHTTP answers as a leaf.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.headers[r.RequestURI] = append(s.headers[r.RequestURI], r.Header.Clone())
	s.mu.Unlock()
	w.Header().Set("Server-Stamp", "s-"+r.Header.Get("Request-Id"))
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	fmt.Fprint(w, "0123456789abcdef")
}

// received returns the headers that leaves received with a target.
func (s *site) received(target string) []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[target]
}

// send sends a request and returns the status of its answer, 0 if there is none.
func (s *site) send(method, address, path, body, key string) (int, http.Header) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	r.Host = "n.example"
	r.Header.Set("Request-Id", fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set("Tenant", "forged")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	_ = answer.Body.Close()
	return answer.StatusCode, answer.Header
}

// await repeats a request until it gets a status.
func (s *site) await(status int, method, address, path, body, key string) http.Header {
	s.t.Helper()
	last := 0
	for range 2000 {
		var header http.Header
		if last, header = s.send(method, address, path, body, key); last == status {
			return header
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("%s %s: status %d, not %d", method, path, last, status)
	return nil
}

func configuration(version int, keys string) string {
	const shards = `"s0","s1","s2","s3"`
	route := func(name, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":"n.example","pathPrefix":"/%s/","routeType":"safe","timeoutMs":2000,"maxAttempts":2,%s}`, name, name, rest)
	}
	var services []string
	for i := range 4 {
		services = append(services, fmt.Sprintf(`{"name":"s%d","maxConns":50}`, i))
	}
	return fmt.Sprintf(`{"version":%d,"services":[%s],"routes":[%s,%s,%s],"tenants":[{"name":"acme","apiKeys":[%s]}]}`, version, strings.Join(services, ","),
		route("one", `"service":"s0"`), route("open", `"service":"s0","public":true`), route("all", `"gather":[`+shards+`],"topK":3,"minCoverage":1,"targetLatencyMs":500`), keys)
}

// Guards, with all parts in place, against keys that open nothing or too much, that reach leaves, other hosts' messages to
// leaves or logs, and against removed keys that are accepted by hosts without control hosts.
func TestKeysOverTheWholePath(t *testing.T) {
	const keyOne, keyTwo = "sekret-one", "sekret-two"
	logs := &logBuffer{}
	output := eventer.NewOutput(logs)
	eventer.SetOutput(output)
	s := newSite(t)
	stopControl := s.start(1, server.Control, true)
	s.start(2, server.Entry, true)
	s.start(3, server.Entry, true)
	control, entry, ready := s.address(1, s.ports[1]), s.address(2, s.ports[2]), s.address(2, s.ports[3])
	s.await(http.StatusOK, http.MethodPut, control, "/config", configuration(1, `"`+keyOne+`","`+keyTwo+`"`), "")
	for i := range 4 {
		leaf := httptest.NewServer(s)
		t.Cleanup(leaf.Close)
		s.await(http.StatusOK, http.MethodPut, control, fmt.Sprintf("/instances/leaf-%d", i), fmt.Sprintf(
			`{"service":"s%d","address":%q,"zone":"a","version":"1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":1}`, i, leaf.Listener.Addr()), "")
	}
	for _, path := range []string{"/one/2f", "/all/2f"} {
		s.await(http.StatusOK, http.MethodGet, entry, path, "", keyOne)
	}
	s.await(http.StatusOK, http.MethodGet, ready, "/ready", "", "")
	calls := append(s.received("/one/2f"), s.received("/all/2f")...)
	qt.Assert(t, len(calls) >= 5, qt.IsTrue)
	for _, h := range calls {
		qt.Assert(t, h["Tenant"], qt.DeepEquals, []string{"acme"})
		qt.Assert(t, h["Authorization"], qt.IsNil)
	}
	for _, key := range []string{"", "unknown"} {
		for _, path := range []string{"/one/refused", "/all/refused"} {
			status, header := s.send(http.MethodGet, entry, path, "", key)
			qt.Assert(t, status, qt.Equals, http.StatusUnauthorized)
			qt.Assert(t, header.Get("Www-Authenticate"), qt.Equals, "Bearer")
			qt.Assert(t, s.received(path), qt.HasLen, 0)
		}
	}
	for _, key := range []string{"", "unknown"} {
		s.await(http.StatusOK, http.MethodGet, entry, "/open/2f", "", key)
	}
	for _, h := range s.received("/open/2f") {
		qt.Assert(t, h["Tenant"], qt.IsNil)
		qt.Assert(t, h["Authorization"], qt.IsNil)
	}

	s.await(http.StatusOK, http.MethodPut, control, "/config", configuration(2, `"`+keyTwo+`"`), "")
	s.await(http.StatusUnauthorized, http.MethodGet, entry, "/one/2f", "", keyOne)
	s.await(http.StatusOK, http.MethodGet, entry, "/one/2f", "", keyTwo)

	stopControl()
	header := s.await(http.StatusServiceUnavailable, http.MethodGet, entry, "/one/2f", "", keyTwo)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.await(http.StatusServiceUnavailable, http.MethodGet, ready, "/ready", "", "")
	s.await(http.StatusOK, http.MethodGet, entry, "/open/2f", "", "")

	s.start(1, server.Control, false)
	s.await(http.StatusOK, http.MethodGet, entry, "/one/2f", "", keyTwo)
	s.await(http.StatusOK, http.MethodGet, ready, "/ready", "", "")
	output.Close()
	text := logs.String()
	for _, event := range []string{`event="3030"`, `event="3031"`, `event="5024" version=1 added=2 removed=0`, `event="5024" version=2 added=0 removed=1`, `event="1011"`} {
		qt.Assert(t, strings.Contains(text, event), qt.IsTrue, qt.Commentf("%s", event))
	}
	qt.Assert(t, strings.Contains(text, "sekret"), qt.IsFalse)
	qt.Assert(t, strings.Contains(text, "Bearer"), qt.IsFalse)
}
