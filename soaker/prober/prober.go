// Package prober uses the system as its callers and operators do, and compares what it gets with what must hold.
package prober

import (
	"bytes"
	"context"
	"encoding/json"
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

// Config says what the deployment serves.
type Config struct {
	Entries  func() []string
	Controls []string
	// Shards are the services of the gathered route, and Single is that of the routes of one leaf.
	Shards []string
	Single string
	Top    int
	Least  float64
	// Timed also checks bounds in time, which a busy machine may not keep.
	Timed bool
}

// Prober counts and keeps what it found. It is safe for concurrent use.
type Prober struct {
	config Config

	mu       sync.Mutex
	faults   []string
	runs     map[string]int
	refused  map[string]bool
	once     map[string]bool
	drained  map[string]time.Time
	answered int
	asked    int
	// acked is the newest acknowledged configuration and sent holds every document by version.
	acked int
	sent  map[int][]byte
}

// New returns a prober.
func New(c Config) *Prober {
	return &Prober{
		config: c, runs: make(map[string]int), refused: make(map[string]bool), once: make(map[string]bool),
		drained: make(map[string]time.Time), sent: make(map[int][]byte),
	}
}

// drainTime is the time after which a leaving leaf gets nothing more.
const drainTime = 3 * time.Second

func (p *Prober) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// Faults returns what was found.
func (p *Prober) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.faults)
}

// Counts returns how many requests were asked and answered.
func (p *Prober) Counts() (asked, answered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked, p.answered
}

// Ran notes that a leaf begins to run a request.
func (p *Prober) Ran(l *provider.Leaf, request string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[request]++
	since, drained := p.drained[l.Name()]
	if p.config.Timed && drained && now.Sub(since) > drainTime {
		p.faults = append(p.faults, fmt.Sprintf("leaf %s runs %s %s after its departure was acknowledged", l.Name(), request, now.Sub(since)))
	}
}

// Drained notes that the departure of a leaf was acknowledged.
func (p *Prober) Drained(leaf string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drained[leaf] = at
}

// Call sends requests over kept connections until ctx ends; number makes its identities unique.
func (p *Prober) Call(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		entries := p.config.Entries()
		entry := entries[(number+i/20)%len(entries)]
		id := fmt.Sprintf("r%d-%d", number, i)
		switch i % 4 {
		case 0:
			p.ask(ctx, client, entry, id, http.MethodPost, "/once/"+id)
		case 1:
			p.ask(ctx, client, entry, id, http.MethodGet, "/one/"+id)
		default:
			p.ask(ctx, client, entry, id, http.MethodGet, "/all/"+id)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ask sends one request and judges the answer.
func (p *Prober) ask(ctx context.Context, client *http.Client, entry, id, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(""))
	if err != nil {
		p.fault("%s: %v", id, err)
		return
	}
	request.Host = "n.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	p.mu.Lock()
	p.asked++
	p.once[id] = method == http.MethodPost
	p.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return // Hosts are killed and frozen; what counts is what answers say.
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	p.judge(id, path, response, body)
}

// judge compares an answer with what the leaves hold.
func (p *Prober) judge(id, path string, response *http.Response, body []byte) {
	switch response.StatusCode {
	case http.StatusOK:
		p.mu.Lock()
		p.answered++
		p.mu.Unlock()
		if strings.HasPrefix(path, "/all/") {
			p.gathered(id, path, response.Header, body)
			return
		}
		if stamp := response.Header.Get("Server-Stamp"); !strings.HasPrefix(stamp, p.config.Single+"/") || !strings.HasSuffix(stamp, "/"+id) {
			p.fault("%s: a success with the signature %q", id, stamp)
		}
		if !bytes.Equal(body, provider.Records(p.config.Single, path)) {
			p.fault("%s: a success with another body", id)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p.mu.Lock()
		p.refused[id] = true
		p.mu.Unlock()
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		p.fault("%s: status %d", id, response.StatusCode)
	}
}

// gathered checks that a merged answer is what its parts give, and that it says truly what is missing.
func (p *Prober) gathered(id, path string, h http.Header, body []byte) {
	var parts []byte
	named := make(map[string]bool)
	for stamp := range strings.SplitSeq(h.Get("Part-Stamps"), ", ") {
		fields := strings.Split(stamp, "/")
		if len(fields) != 3 || fields[2] != id || !slices.Contains(p.config.Shards, fields[0]) || named[fields[0]] {
			p.fault("%s: part %q", id, stamp)
			return
		}
		named[fields[0]] = true
		parts = append(parts, provider.Records(fields[0], path)...)
	}
	missing, err := strconv.Atoi(h.Get("Missing-Parts"))
	if err != nil || missing+len(named) != len(p.config.Shards) {
		p.fault("%s: %d parts and %q missing of %d", id, len(named), h.Get("Missing-Parts"), len(p.config.Shards))
	}
	if float64(len(named)) < p.config.Least*float64(len(p.config.Shards)) {
		p.fault("%s: a success with %d parts", id, len(named))
	}
	var records [][]byte
	for len(parts) > 0 {
		records = append(records, parts[:provider.RecordSize])
		parts = parts[provider.RecordSize:]
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(body, bytes.Join(records[:min(len(records), p.config.Top)], nil)) {
		p.fault("%s: the body is not the greatest records of its parts", id)
	}
}

// Finish checks what only shows at the end: what ran more than once, and what ran although it was refused.
func (p *Prober) Finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.runs {
		if p.once[id] && n > 1 {
			p.faults = append(p.faults, fmt.Sprintf("%s may run once and ran %d times", id, n))
		}
		if p.refused[id] {
			p.faults = append(p.faults, fmt.Sprintf("%s was refused as not run and ran", id))
		}
	}
}

// document returns a configuration.
func (p *Prober) document(version int) []byte {
	route := func(name, kind string, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"n.example","pathPrefix":"/%s/","routeType":%q,"timeoutMs":1500,"targetLatencyMs":300,"priority":1,"maxAttempts":2,%s}`, name, name, kind, more)
	}
	shards, err := json.Marshal(p.config.Shards)
	if err != nil {
		panic(err) // A list of names can be encoded.
	}
	services := []string{fmt.Sprintf(`{"name":%q,"maxConns":100}`, p.config.Single)}
	for _, s := range p.config.Shards {
		services = append(services, fmt.Sprintf(`{"name":%q,"maxConns":100}`, s))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[%s],"limits":{"idleTimeoutMs":15000}}`, version,
		route("all", "safe", fmt.Sprintf(`"gather":%s,"topK":%d,"minCoverage":%g`, shards, p.config.Top, p.config.Least)),
		route("one", "safe", fmt.Sprintf(`"service":%q`, p.config.Single)),
		route("once", "unsafe", fmt.Sprintf(`"service":%q`, p.config.Single)), strings.Join(services, ","))
}
