package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lycheelift.example/lib/admitter"
)

// traffic is a kind of request of one tenant.
type traffic struct {
	route, tenant    string
	priority         int
	perSecond        float64
	work             time.Duration
	target, deadline time.Duration
	services         []string
	needed           int
	// burst multiplies the rate from the end of the first to the end of the second third of the run.
	burst float64
	// impatient callers repeat a rejected request at once, up to three times. leaving is the share of callers who leave after
	// 20 ms.
	impatient bool
	leaving   float64
}

// counts are the results of one kind of request.
type counts struct {
	offered, admitted, answered, inTime, rejected int
	// unfinished requests were in progress on a host when it was lost, or at the end.
	unfinished int
	// slowest is the longest time until a rejection, as a part of the target.
	slowest float64
}

func (c *counts) ratio() float64 { return float64(c.answered) / float64(max(c.offered, 1)) }

// simLeaf runs calls in order of arrival on its slots.
type simLeaf struct {
	slots, running int
	slow           float64
	pausedUntil    time.Time
	queue          []*simCall
}

// simCall is a call of a request in progress.
type simCall struct {
	job     *job
	host    *simHost
	service string
	leaf    int
	sent    time.Time
	ends    time.Time
	waited  int
}

// job is a request in progress.
type job struct {
	traffic *traffic
	host    *simHost
	request *admitter.Request
	ticket  *admitter.Ticket
	tries   int
	missing int
	leaves  time.Time
}

// report is a leaf's load as a host last heard it.
type report struct {
	others float64
	at     time.Time
}

// simHost is an entry host with its own admitter and its own information about the leaves.
type simHost struct {
	admitter *admitter.Admitter
	own      map[string][]int
	reports  map[string][]report
	waiting  []*job
	admitted []*job
	lost     bool
}

// simulation runs hosts that share leaves, in steps of a millisecond.
type simulation struct {
	hosts   []*simHost
	leaves  map[string][]*simLeaf
	running []*simCall
	random  *rand.Rand
	now     time.Time
	kinds   []traffic
	results []counts
	// loseAt is when a quarter of the hosts is lost with their requests; 0 for never.
	loseAt time.Duration
	// pauseTime is how long each leaf pauses every pauseInterval; 0 for never.
	pauseTime time.Duration
	// retries are the jobs that callers will send again.
	retries []*job
	// delayed counts requests that were not admitted at once.
	delayed int
	// connections is the number of connections of a host to a leaf; 0 means that they are not limited.
	connections int
}

const (
	simStep       = time.Millisecond
	stepMillis    = 5 // Interval of Step in milliseconds.
	simLeaves     = 3
	pauseInterval = 3600 * time.Millisecond
	simSlots      = 4
	reportFresh   = 250 * time.Millisecond
	reportAge     = time.Second
)

func newSimulation(seed uint64, hosts, services int, kinds ...traffic) *simulation {
	s := &simulation{
		leaves: make(map[string][]*simLeaf), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		kinds: kinds, results: make([]counts, len(kinds)),
	}
	for i := range services {
		for range simLeaves {
			s.leaves[serviceName(i)] = append(s.leaves[serviceName(i)], &simLeaf{slots: simSlots, slow: 1})
		}
	}
	for range hosts {
		h := &simHost{admitter: admitter.New(), own: make(map[string][]int), reports: make(map[string][]report)}
		for name := range s.leaves {
			h.own[name], h.reports[name] = make([]int, simLeaves), make([]report, simLeaves)
		}
		s.hosts = append(s.hosts, h)
	}
	return s
}

func serviceName(i int) string { return fmt.Sprintf("s%d", i) }

func serviceNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, serviceName(i))
	}
	return out
}

// pool is what a host expects of a service: its own calls and what it heard of others, which fades.
func (s *simulation) pool(h *simHost) admitter.Pools {
	return func(name string) admitter.Pool {
		p := admitter.Pool{Hosts: len(s.hosts), Connections: s.connections * simLeaves}
		for i, l := range s.leaves[name] {
			others, stale := s.others(h, name, i)
			p.Add(l.slots, h.own[name][i], others, stale)
		}
		return p
	}
}

func (s *simulation) others(h *simHost, name string, i int) (others, stale float64) {
	r := h.reports[name][i]
	age := s.now.Sub(r.at)
	switch {
	case age >= reportAge:
		return 0, 1
	case age <= reportFresh:
		return r.others, 0
	}
	stale = float64(age-reportFresh) / float64(reportAge-reportFresh)
	return r.others * (1 - stale), stale
}

func (s *simulation) run(length time.Duration) {
	start := s.now
	for ; s.now.Sub(start) < length; s.now = s.now.Add(simStep) {
		elapsed := s.now.Sub(start)
		if s.loseAt > 0 && elapsed == s.loseAt {
			for _, h := range s.hosts[:len(s.hosts)/4] {
				h.lost = true
				s.countUnfinished(h)
			}
		}
		s.finish()
		s.pause(elapsed)
		for i := range s.kinds {
			k := &s.kinds[i]
			rate := k.perSecond
			if k.burst > 0 && elapsed > length/3 && elapsed < 2*length/3 {
				rate *= k.burst
			}
			for due := rate * simStep.Seconds(); s.random.Float64() < due; due-- {
				s.results[i].offered++
				s.offer(&job{traffic: k}, i)
			}
		}
		retries := s.retries
		s.retries = nil
		for _, j := range retries {
			s.offer(&job{traffic: j.traffic, tries: j.tries + 1}, s.index(j))
		}
		for _, h := range s.hosts {
			s.step(h)
		}
	}
	for _, h := range s.hosts {
		if !h.lost {
			s.countUnfinished(h)
		}
	}
}

// pause pauses each leaf at its own time, if leaves pause.
func (s *simulation) pause(elapsed time.Duration) {
	if s.pauseTime == 0 {
		return
	}
	for i := range len(s.leaves) {
		for j, l := range s.leaves[serviceName(i)] {
			if (elapsed+time.Duration(i*simLeaves+j)*pauseInterval/time.Duration(len(s.leaves)*simLeaves))%pauseInterval != 0 {
				continue
			}
			l.pausedUntil = s.now.Add(s.pauseTime)
			for _, c := range s.running {
				if c.service == serviceName(i) && c.leaf == j {
					c.ends = c.ends.Add(s.pauseTime)
				}
			}
		}
	}
}

func (s *simulation) countUnfinished(h *simHost) {
	for _, j := range h.admitted {
		if j.missing > 0 {
			s.results[s.index(j)].unfinished++
		}
	}
}

func (s *simulation) index(j *job) int {
	return slices.IndexFunc(s.kinds, func(k traffic) bool { return k.route == j.traffic.route && k.tenant == j.traffic.tenant })
}

func (s *simulation) offer(j *job, kind int) {
	k := j.traffic
	for j.host == nil || j.host.lost {
		j.host = s.hosts[s.random.IntN(len(s.hosts))]
	}
	j.request = &admitter.Request{
		Route: k.route, Tenant: k.tenant, Priority: k.priority, Services: k.services, Needed: k.needed,
		Arrived: s.now, Target: s.now.Add(k.target), Deadline: s.now.Add(k.deadline),
	}
	if s.random.Float64() < k.leaving {
		j.leaves = s.now.Add(20 * time.Millisecond)
	}
	j.ticket = j.host.admitter.Offer(j.request, s.pool(j.host), s.random.Float64(), s.now)
	if j.ticket.Decision.Verdict == admitter.Waiting {
		j.host.waiting = append(j.host.waiting, j)
		s.delayed++
		return
	}
	s.decided(j, kind)
}

func (s *simulation) decided(j *job, kind int) {
	r := &s.results[kind]
	switch j.ticket.Decision.Verdict {
	case admitter.Admitted:
		r.admitted++
		j.host.admitted = append(j.host.admitted, j)
		j.missing = max(j.traffic.needed, 1)
		for _, name := range j.traffic.services {
			s.send(j, name)
		}
		j.host.admitter.Sent(j.ticket)
	case admitter.Rejected:
		s.delayed++
		r.rejected++
		r.slowest = max(r.slowest, float64(s.now.Sub(j.request.Arrived))/float64(j.traffic.target))
		if j.traffic.impatient && j.tries < 3 {
			s.retries = append(s.retries, j)
		}
	}
}

func (s *simulation) step(h *simHost) {
	if h.lost {
		return
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(j *job) bool {
		return !j.leaves.IsZero() && s.now.After(j.leaves) && h.admitter.Cancel(j.ticket)
	})
	h.admitted = slices.DeleteFunc(h.admitted, func(j *job) bool {
		if s.now.After(j.request.Deadline) {
			h.admitter.End(j.ticket, s.now)
		}
		return j.missing <= 0 || s.now.After(j.request.Deadline)
	})
	due := slices.ContainsFunc(h.waiting, func(j *job) bool { return !s.now.Before(j.ticket.Decision.Until) })
	if due || s.now.UnixMilli()%stepMillis == 0 {
		h.admitter.Step(s.pool(h), s.random.Float64(), s.now)
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(j *job) bool {
		if j.ticket.Decision.Verdict == admitter.Waiting {
			return false
		}
		s.decided(j, s.index(j))
		return true
	})
}

// send calls the leaf that the host expects to be least loaded.
func (s *simulation) send(j *job, name string) {
	best, least := 0, 0.0
	for i := range s.leaves[name] {
		others, _ := s.others(j.host, name, i)
		load := float64(j.host.own[name][i]) + others + s.random.Float64()
		if i == 0 || load < least {
			best, least = i, load
		}
	}
	c := &simCall{job: j, host: j.host, service: name, leaf: best, sent: s.now}
	j.host.own[name][best]++
	l := s.leaves[name][best]
	l.queue = append(l.queue, c)
	s.startCalls(l)
}

func (s *simulation) startCalls(l *simLeaf) {
	for l.running < l.slots && len(l.queue) > 0 {
		c := l.queue[0]
		l.queue = l.queue[1:]
		if c.job.missing <= 0 || s.now.After(c.job.request.Deadline) {
			c.host.own[c.service][c.leaf]-- // The host or the leaf gives up the call.
			continue
		}
		l.running++
		c.waited = len(l.queue)
		c.ends = s.now.Add(max(0, l.pausedUntil.Sub(s.now))).Add(time.Duration(float64(c.job.traffic.work) * l.slow * (0.7 + 0.6*s.random.Float64())))
		s.running = append(s.running, c)
	}
}

// finish ends the calls whose time has come.
func (s *simulation) finish() {
	var ended []*simCall
	s.running = slices.DeleteFunc(s.running, func(c *simCall) bool {
		if c.ends.After(s.now) {
			return false
		}
		ended = append(ended, c)
		return true
	})
	for _, c := range ended {
		l := s.leaves[c.service][c.leaf]
		l.running--
		s.startCalls(l)
		h, j := c.host, c.job
		h.own[c.service][c.leaf]--
		load := l.running + len(l.queue) - h.own[c.service][c.leaf]
		h.reports[c.service][c.leaf] = report{others: max(0, float64(load)), at: s.now}
		h.admitter.Answered(c.service, fmt.Sprint(c.leaf), s.now.Sub(c.sent), len(l.queue), l.slots, s.now)
		if j.missing--; j.missing != 0 || h.lost || s.now.After(j.request.Deadline) {
			continue
		}
		h.admitter.End(j.ticket, s.now)
		r := &s.results[s.index(j)]
		r.answered++
		if !s.now.After(j.request.Target) {
			r.inTime++
		}
	}
}
