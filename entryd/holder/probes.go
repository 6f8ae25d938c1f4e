package holder

import (
	"sync"
	"time"
)

// silence is how long every request to a host must have failed before the host counts as dead.
const silence = 1500 * time.Millisecond

// Probes judges hosts by the requests that this host sends them. It is safe for concurrent use.
type Probes struct {
	clock func() time.Time

	mu     sync.Mutex
	heard  map[string]time.Time
	failed map[string]bool
}

// NewProbes returns a judge that holds no host dead.
func NewProbes(clock func() time.Time) *Probes {
	return &Probes{clock: clock, heard: make(map[string]time.Time), failed: make(map[string]bool)}
}

// Heard notes a sign of life of a host.
func (p *Probes) Heard(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[host] = p.clock()
	delete(p.failed, host)
}

// Failed notes that a request to a host failed.
func (p *Probes) Failed(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.heard[host]; !ok {
		p.heard[host] = p.clock()
	}
	p.failed[host] = true
}

// Dead reports whether requests to a host have failed for the whole period of silence.
func (p *Probes) Dead(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed[host] && p.clock().Sub(p.heard[host]) >= silence
}
