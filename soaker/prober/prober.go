// Package prober sends requests as the callers and operators of the system do, and checks that the responses satisfy
// its guarantees.
package prober

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheelift.example/leafd/provider"
)

// Config describes the services and hosts of the deployment.
type Config struct {
	Entries  func() []string
	Controls []string
	// Shards are the services of the route that gathers parts from several leaves. SingleService is the service of the
	// routes that call one leaf.
	Shards        []string
	SingleService string
	TopK          int
	MinCoverage   float64
	// CheckTiming also checks time limits, which may be exceeded on a busy machine.
	CheckTiming bool
}

// Prober counts requests and collects violations of guarantees. It is safe for concurrent use.
type Prober struct {
	config Config

	mu         sync.Mutex
	violations []string
	runs       map[string]int
	refused    map[string]bool
	atMostOnce map[string]bool
	drainedAt  map[string]time.Time
	stops      []stop
	// cut holds the requests whose connections were closed without an answer.
	cut           map[string]cutRequest
	answeredCount int
	sentCount     int
	// acknowledged is the newest acknowledged version, and documents holds every configuration sent, by version.
	acknowledged int
	documents    map[int][]byte
}

// stop is the time in which an entry host was stopped gracefully.
type stop struct {
	address  string
	from, to time.Time
}

// cutRequest is a request whose connection was closed without an answer.
type cutRequest struct {
	address string
	sent    time.Time
}

// New returns a prober.
func New(c Config) *Prober {
	return &Prober{
		config: c, runs: make(map[string]int), refused: make(map[string]bool), atMostOnce: make(map[string]bool),
		drainedAt: make(map[string]time.Time), documents: make(map[int][]byte), cut: make(map[string]cutRequest),
	}
}

// drainGracePeriod is the time after the acknowledgement of a drain from which a leaf must receive no more requests.
const drainGracePeriod = 3 * time.Second

func (p *Prober) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations found so far.
func (p *Prober) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// Counts returns the numbers of requests that were sent and that were answered.
func (p *Prober) Counts() (sentCount, answeredCount int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentCount, p.answeredCount
}

// RecordRun records that a leaf starts to run a request.
func (p *Prober) RecordRun(l *provider.Leaf, request string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[request]++
	since, drained := p.drainedAt[l.Name()]
	if p.config.CheckTiming && drained && now.Sub(since) > drainGracePeriod {
		p.violations = append(p.violations, fmt.Sprintf("leaf %s ran request %s %s after its drain was acknowledged", l.Name(), request, now.Sub(since)))
	}
}

// RecordDrained records the time at which the drain of a leaf was acknowledged.
func (p *Prober) RecordDrained(leaf string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedAt[leaf] = at
}

// RecordReturned records that a leaf that had drained is in use again.
func (p *Prober) RecordReturned(leaf string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.drainedAt, leaf)
}

// RecordStop records the time in which an entry host was stopped gracefully.
func (p *Prober) RecordStop(address string, from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops = append(p.stops, stop{address: address, from: from, to: to})
}

// RecordAccepted records that a control host accepted a heartbeat that names no leaf.
func (p *Prober) RecordAccepted(control, leaf string) {
	p.addViolation("control host %s accepted an odd heartbeat of %q", control, leaf)
}

// recordCut records a request whose connection was closed without an answer.
func (p *Prober) recordCut(id, address string, sent time.Time, err error) {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() || errors.Is(err, context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[id] = cutRequest{address: address, sent: sent}
}

// duringStop reports whether a request was sent to a host while it was stopped gracefully.
func (p *Prober) duringStop(c cutRequest) bool {
	return slices.ContainsFunc(p.stops, func(s stop) bool { return s.address == c.address && c.sent.After(s.from) && c.sent.Before(s.to) })
}

// SendRequests sends requests over persistent connections until ctx ends. number is the caller's number and keeps its
// request IDs unique.
func (p *Prober) SendRequests(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		entries := p.config.Entries()
		entry := entries[(number+i/20)%len(entries)]
		id := fmt.Sprintf("r%d-%d", number, i)
		switch i % 4 {
		case 0:
			p.sendRequest(ctx, client, entry, id, http.MethodPost, "/once/"+id)
		case 1:
			p.sendRequest(ctx, client, entry, id, http.MethodGet, "/one/"+id)
		default:
			p.sendRequest(ctx, client, entry, id, http.MethodGet, "/all/"+id)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendRequest sends one request and checks the response.
func (p *Prober) sendRequest(ctx context.Context, client *http.Client, entry, id, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(""))
	if err != nil {
		p.addViolation("%s: %v", id, err)
		return
	}
	request.Host = "n.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	request.Body, request.GetBody = io.NopCloser(strings.NewReader("")), nil // So that the client does not send it again by itself.
	sent := time.Now()
	p.mu.Lock()
	p.sentCount++
	p.atMostOnce[id] = method == http.MethodPost
	p.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		p.recordCut(id, entry, sent, err) // Expected while hosts are killed and suspended.
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		p.recordCut(id, entry, sent, err)
		return
	}
	p.checkResponse(id, path, response, body)
}

// checkResponse compares a response with the records of the leaves.
func (p *Prober) checkResponse(id, path string, response *http.Response, body []byte) {
	switch response.StatusCode {
	case http.StatusOK:
		p.mu.Lock()
		p.answeredCount++
		p.mu.Unlock()
		if strings.HasPrefix(path, "/all/") {
			p.checkGathered(id, path, response.Header, body)
			return
		}
		if signature := response.Header.Get("Server-Stamp"); !strings.HasPrefix(signature, p.config.SingleService+"/") || !strings.HasSuffix(signature, "/"+id) {
			p.addViolation("request %s: success response with the wrong signature %q", id, signature)
		}
		if !bytes.Equal(body, provider.Records(p.config.SingleService, path)) {
			p.addViolation("request %s: success response with the wrong body", id)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p.mu.Lock()
		p.refused[id] = true
		p.mu.Unlock()
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		p.addViolation("request %s: unexpected status %d", id, response.StatusCode)
	}
}

// checkGathered checks that a merged answer matches its parts and states the number of missing parts correctly.
func (p *Prober) checkGathered(id, path string, h http.Header, body []byte) {
	var parts []byte
	seen := make(map[string]bool)
	for partSignature := range strings.SplitSeq(h.Get("Part-Stamps"), ", ") {
		fields := strings.Split(partSignature, "/")
		if len(fields) != 3 || fields[2] != id || !slices.Contains(p.config.Shards, fields[0]) || seen[fields[0]] {
			p.addViolation("request %s: invalid part signature %q", id, partSignature)
			return
		}
		seen[fields[0]] = true
		parts = append(parts, provider.Records(fields[0], path)...)
	}
	missing, err := strconv.Atoi(h.Get("Missing-Parts"))
	if err != nil || missing+len(seen) != len(p.config.Shards) {
		p.addViolation("request %s: %d parts and %q missing parts do not add up to %d shards", id, len(seen), h.Get("Missing-Parts"), len(p.config.Shards))
	}
	if float64(len(seen)) < p.config.MinCoverage*float64(len(p.config.Shards)) {
		p.addViolation("request %s: success response with only %d parts", id, len(seen))
	}
	var records [][]byte
	for len(parts) > 0 {
		records = append(records, parts[:provider.RecordSize])
		parts = parts[provider.RecordSize:]
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(body, bytes.Join(records[:min(len(records), p.config.TopK)], nil)) {
		p.addViolation("request %s: the body does not hold the greatest records of its parts", id)
	}
}

// CheckRuns looks for requests that ran more than once, that ran although they were refused, and that ran and were cut off by
// a host that was stopped gracefully. It must be called when all requests have ended, because runs and refusals arrive in any order.
func (p *Prober) CheckRuns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.runs {
		if p.atMostOnce[id] && n > 1 {
			p.violations = append(p.violations, fmt.Sprintf("request %s may run at most once but ran %d times", id, n))
		}
		if c, ok := p.cut[id]; ok && p.duringStop(c) {
			p.violations = append(p.violations, fmt.Sprintf("request %s to %s ran and got no answer during a graceful stop", id, c.address))
		}
		if p.refused[id] {
			p.violations = append(p.violations, fmt.Sprintf("request %s was refused as not executed but ran", id))
		}
	}
}

// document returns the configuration with a version, as JSON.
func (p *Prober) document(version int) []byte {
	route := func(name, routeType string, fields string) string {
		return fmt.Sprintf(`{"name":%q,"host":"n.example","pathPrefix":"/%s/","routeType":%q,"timeoutMs":1500,"targetLatencyMs":300,"priority":1,"maxAttempts":2,%s}`, name, name, routeType, fields)
	}
	shards, err := json.Marshal(p.config.Shards)
	if err != nil {
		panic(err) // Encoding a list of strings cannot fail.
	}
	services := []string{fmt.Sprintf(`{"name":%q,"maxConns":100}`, p.config.SingleService)}
	for _, s := range p.config.Shards {
		services = append(services, fmt.Sprintf(`{"name":%q,"maxConns":100}`, s))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[%s],"limits":{"idleTimeoutMs":15000}}`, version,
		route("all", "safe", fmt.Sprintf(`"gather":%s,"topK":%d,"minCoverage":%g`, shards, p.config.TopK, p.config.MinCoverage)),
		route("one", "safe", fmt.Sprintf(`"service":%q`, p.config.SingleService)),
		route("once", "unsafe", fmt.Sprintf(`"service":%q`, p.config.SingleService)), strings.Join(services, ","))
}
