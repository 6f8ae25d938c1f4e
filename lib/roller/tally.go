package roller

import (
	"sync"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// settleTime is the time after the last step for which a host does not report that it has left the old version: a call that
// was chosen before the step may not be counted yet.
const settleTime = 200 * time.Millisecond

// Result is how a call ended.
type Result int

const (
	// Answered means that the leaf gave a proper answer.
	Answered Result = iota
	// Failed means that it gave none, or one that says that it failed.
	Failed
	// Slow means that the call was given up while the leaf was still working on it.
	Slow
	// Unsent means that the leaf has not got the request.
	Unsent
	// Neutral means that the result says nothing about the version.
	Neutral
)

// Tally counts an entry host's calls to the services that have a rollout. It is safe for concurrent use.
type Tally struct {
	host string
	boot uint64

	mu       sync.Mutex
	services map[string]*serviceTally
}

// serviceTally holds the counts of one service.
type serviceTally struct {
	rollout *statev1.Rollout
	// stepped is when this host learned of the newest revision, or when it was last out of contact.
	stepped time.Time
	// running counts the running calls by program version.
	running map[string]int
	routes  map[string]*[2]Counts
}

// NewTally returns the tally of a host. Boot tells one process of the host from the next.
func NewTally(host string, boot uint64) *Tally {
	return &Tally{host: host, boot: boot, services: make(map[string]*serviceTally)}
}

// Update takes the rollouts that are in force on this host from now on.
func (t *Tally) Update(rollouts map[string]*statev1.Rollout, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range rollouts {
		s := t.services[name]
		if s == nil {
			s = &serviceTally{running: make(map[string]int), routes: make(map[string]*[2]Counts)}
			t.services[name] = s
		}
		if s.rollout.GetOrder() != r.GetOrder() {
			s.routes = make(map[string]*[2]Counts)
		}
		if s.rollout.GetRevision() != r.GetRevision() {
			s.stepped = now
		}
		s.rollout = r
	}
}

// Call is one counted call. The methods of a nil Call do nothing.
type Call struct {
	tally   *Tally
	service *serviceTally
	program string
	counts  *Counts
	began   time.Time
	// cold is true if the leaf said that it was cold: its latency says nothing about its version.
	cold bool
	// classified is true once the result is known, and closed once the call runs no more.
	classified, closed bool
	trial              bool
}

// Trial reports whether the call goes to the target of a running order.
func (c *Call) Trial() bool {
	return c != nil && c.trial
}

// Begin counts a call that is being sent. It returns nil if the service has no rollout.
func (t *Tally) Begin(service, program, route string, cold bool, now time.Time) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return nil
	}
	s.running[program]++
	out := &Call{tally: t, service: s, program: program, began: now, cold: cold}
	if Running(s.rollout) {
		out.counts, out.trial = s.count(program, route), program == s.rollout.GetTarget()
		out.counts.Sent++
	}
	return out
}

// count returns the counts of a version and a route.
func (s *serviceTally) count(program, route string) *Counts {
	pair := s.routes[route]
	if pair == nil {
		if len(s.routes) >= maxRoutes {
			route = otherRoutes
			pair = s.routes[route]
		}
		if pair == nil {
			pair = &[2]Counts{}
			s.routes[route] = pair
		}
	}
	if program == s.rollout.GetTarget() {
		return &pair[1]
	}
	return &pair[0]
}

// End records the result of a call. Only the first result counts.
func (c *Call) End(result Result, now time.Time) {
	if c == nil {
		return
	}
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if c.classified || c.counts == nil {
		return
	}
	c.classified = true
	switch result {
	case Answered:
		if !c.cold {
			c.counts.Answered[bucket(now.Sub(c.began))]++
		}
	case Failed:
		c.counts.Failed++
	case Slow:
		if !c.cold {
			c.counts.Slow++
		}
	case Unsent:
		if c.counts.Sent > 0 {
			c.counts.Sent--
		}
	case Neutral:
	}
}

// Close records that the call runs no more.
func (c *Call) Close() {
	if c == nil {
		return
	}
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.service.running[c.program]--; c.service.running[c.program] == 0 {
		delete(c.service.running, c.program)
	}
}

// Report returns the counts of the services with a running order, or nil. Fresh says whether this host is in contact with
// the control hosts; without contact it sends nothing to the target.
func (t *Tally) Report(fresh bool, now time.Time) []*peerv1.ServiceCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerv1.ServiceCounts
	for name, s := range t.services {
		if !Running(s.rollout) {
			continue
		}
		if !fresh {
			s.stepped = now
		}
		m := &peerv1.ServiceCounts{
			Host: t.host, Boot: t.boot, Service: name, Order: s.rollout.GetOrder(), Revision: s.rollout.GetRevision(),
			Drained: s.drained(now),
		}
		for route, pair := range s.routes {
			for i := range pair {
				m.Routes = append(m.Routes, encodeCounts(route, i == 1, &pair[i]))
			}
		}
		out = append(out, m)
	}
	return out
}

// drained reports whether nothing is sent to other versions than the target any more and no such call runs.
func (s *serviceTally) drained(now time.Time) bool {
	if s.rollout.GetShare() < FullShare || now.Sub(s.stepped) < settleTime {
		return false
	}
	for program := range s.running {
		if program != s.rollout.GetTarget() {
			return false
		}
	}
	return true
}
