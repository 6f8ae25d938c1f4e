package selector_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lycheelift.example/lib/budgeter"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/estimator"
	"lycheelift.example/lib/selector"
)

// Properties of the simulated leaves: those that users gave for a deployment of 133 entry hosts.
const (
	loadSlots    = 4
	loadWork     = 15 * time.Millisecond
	loadSlowness = 2.5
	slowShare    = 0.15
	speedPeriod  = 600 * time.Millisecond
	pausePeriod  = 3600 * time.Millisecond
	pauseTime    = 150 * time.Millisecond
	loadCenters  = 4
	loadTick     = 10 * time.Millisecond
	loadWarmup   = 2 * time.Second
	extraRatio   = 0.09
	// ownReports means that a host knows only what leaves report in answers to its own calls.
	ownReports = -1
)

// loadCase is one simulation of many hosts that choose among the same leaves.
type loadCase struct {
	hosts, services, leaves int
	// usage is the share of all slots that work occupies on average.
	usage float64
	// age is the age of what each host knows of the load of each leaf, or ownReports.
	age    time.Duration
	length time.Duration
	policy policy
	// figures is true when leaves report slowness, and postpone when hedges are postponed as in fleetd/answerer.
	figures, postpone bool
	seed              uint64
}

// policy chooses a leaf. Tried names the leaves that were called before.
type policy func(s *loadSimulation, host int, leaves []*loadLeaf, tried []string) *loadLeaf

// loadResult holds the figures of a simulation.
type loadResult struct {
	// spread is the mean difference between the most and the least loaded leaf of a service, in slots' worth of calls.
	spread float64
	// uneven is the share of time in which a call waits at a leaf that is not paused while another leaf of its service
	// has at least half of its slots free.
	uneven float64
	// remote is the share of first calls that go to another data centre, extra the ratio of hedges to first calls.
	remote, extra float64
	p50, p99      time.Duration
	queries       int
	// late is the share of queries of which 95% of the parts are not in after 140 ms, and p99c the 99th percentile of the time
	// until they are.
	late float64
	p99c time.Duration
}

func (r loadResult) String() string {
	return fmt.Sprintf("spread %.2f uneven %.3f remote %.2f extra %.3f p50 %.1f p99 %.1f p99c %.1f ms late %.3f", r.spread, r.uneven, r.remote, r.extra,
		float64(r.p50)/1e6, float64(r.p99)/1e6, float64(r.p99c)/1e6, r.late)
}

type loadLeaf struct {
	*cataloguer.Leaf
	service  int
	phase    time.Duration
	assigned int
	running  int
	waiting  []*loadCall
	history  []int
}

type loadCall struct {
	host               int
	leaf               *loadLeaf
	query              *loadQuery
	service            int
	work               time.Duration
	sent               time.Time
	ticket             *selector.Ticket
	running, cancelled bool
}

type loadQuery struct {
	arrived time.Time
	left    int
	done    map[int]bool
	calls   map[int][]*loadCall
}

type loadEvent struct {
	at    time.Time
	order int
	do    func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int      { return len(e) }
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }
func (e loadEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}

type loadSimulation struct {
	loadCase
	random  *rand.Rand
	now     time.Time
	events  loadEvents
	order   int
	leaves  [][]*loadLeaf
	tables  []*selector.Table
	typical []*estimator.Estimator
	budgets []*budgeter.Window

	took, covered                   []time.Duration
	samples, uneven                 int
	spread                          float64
	firstCalls, remoteCalls, hedges int
}

func simulate(c loadCase) loadResult {
	s := &loadSimulation{loadCase: c, random: rand.New(rand.NewPCG(c.seed, 1)), now: start}
	for i := range c.services {
		var leaves []*loadLeaf
		for j := range c.leaves {
			l := &cataloguer.Leaf{Name: fmt.Sprintf("%d-%d", i, j), Center: center(i + j), Slots: loadSlots, Incarnation: 1}
			leaves = append(leaves, &loadLeaf{Leaf: l, service: i, phase: time.Duration(s.random.Int64N(int64(pausePeriod)))})
		}
		s.leaves = append(s.leaves, leaves)
	}
	for range c.hosts {
		s.tables = append(s.tables, selector.New())
		s.typical = append(s.typical, estimator.New(estimator.WithPermille(930), estimator.WithWindow(1024, 32)))
		s.budgets = append(s.budgets, budgeter.NewWindow(10*time.Second, extraRatio))
	}
	meanWork := float64(loadWork) * (1 + slowShare*(loadSlowness-1)) / (1 - float64(pauseTime)/float64(pausePeriod))
	gap := meanWork / (c.usage * float64(c.leaves) * loadSlots)
	s.after(0, func() { s.arrive(gap) })
	s.after(0, s.tick)
	for end := start.Add(loadWarmup + c.length); ; {
		e := heap.Pop(&s.events).(loadEvent)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.do()
	}
	slices.Sort(s.took)
	slices.Sort(s.covered)
	n := len(s.took)
	late, _ := slices.BinarySearch(s.covered, 140*time.Millisecond)
	return loadResult{
		queries: n,
		spread:  s.spread / float64(s.samples), uneven: float64(s.uneven) / float64(s.samples), remote: float64(s.remoteCalls) / float64(s.firstCalls),
		extra: float64(s.hedges) / float64(s.firstCalls), p50: s.took[n/2], p99: s.took[n*99/100],
		p99c: s.covered[len(s.covered)*99/100], late: 1 - float64(late)/float64(len(s.covered)),
	}
}

func center(i int) string { return string(rune('a' + i%loadCenters)) }

func (s *loadSimulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, loadEvent{at: s.now.Add(d), order: s.order, do: do})
}

func (s *loadSimulation) measured() bool { return s.now.Sub(start) > loadWarmup }

// slowness returns the factor by which work takes longer on the leaf.
func (s *loadSimulation) slowness(l *loadLeaf, at time.Time) float64 {
	epoch := uint64(at.Sub(start) / speedPeriod)
	hash := rand.New(rand.NewPCG(s.seed^epoch, uint64(l.service)<<20^uint64(l.phase))).Float64()
	if hash < slowShare {
		return loadSlowness
	}
	return 1
}

func (l *loadLeaf) sincePause(at time.Time) time.Duration {
	return (at.Sub(start) + l.phase) % pausePeriod
}

// finish returns when work that starts at a time ends.
func (s *loadSimulation) finish(l *loadLeaf, at time.Time, work time.Duration) time.Time {
	for {
		if since := l.sincePause(at); since < pauseTime {
			at = at.Add(pauseTime - since)
		}
		slowness := s.slowness(l, at)
		free := min(speedPeriod-at.Sub(start)%speedPeriod, pausePeriod-l.sincePause(at))
		if need := time.Duration(float64(work) * slowness); need <= free {
			return at.Add(need)
		}
		work -= time.Duration(float64(free) / slowness)
		at = at.Add(free)
	}
}

func (s *loadSimulation) tick() {
	for _, leaves := range s.leaves {
		least, most, overrun, idle := math.MaxInt, 0, false, false
		for _, l := range leaves {
			n := l.running + len(l.waiting)
			l.history = append(l.history, n)
			if l.sincePause(s.now) < pauseTime {
				continue
			}
			least, most = min(least, n), max(most, n)
			overrun = overrun || len(l.waiting) > 0
			idle = idle || l.running <= loadSlots/2
		}
		if s.measured() && least < math.MaxInt {
			s.samples++
			s.spread += float64(most - least)
			if overrun && idle {
				s.uneven++
			}
		}
	}
	s.after(loadTick, s.tick)
}

func (s *loadSimulation) arrive(gap float64) {
	q := &loadQuery{arrived: s.now, left: s.services, done: map[int]bool{}, calls: map[int][]*loadCall{}}
	host := s.random.IntN(s.hosts)
	for i := range s.services {
		s.budgets[host].Request(fmt.Sprint(i), s.now)
		s.send(host, q, i)
	}
	s.after(time.Duration(s.random.ExpFloat64()*gap), func() { s.arrive(gap) })
}

func (s *loadSimulation) typicalOf(host int) time.Duration {
	if t := s.typical[host].Typical("r"); t > 0 {
		return t
	}
	return loadWork
}

// trigger is that of fleetd/answerer for a target of 150 ms.
func (s *loadSimulation) trigger(host int) time.Duration {
	trigger := s.typical[host].Trigger("r")
	if trigger == 0 {
		trigger = 50 * time.Millisecond
	}
	return max(8*time.Millisecond, min(trigger, time.Duration(1.8*float64(s.typicalOf(host))), 60*time.Millisecond))
}

func (s *loadSimulation) send(host int, q *loadQuery, service int) bool {
	var tried []string
	for _, c := range q.calls[service] {
		tried = append(tried, c.leaf.Name)
	}
	if s.age != ownReports {
		s.informAt(host, s.leaves[service])
	}
	l := s.policy(s, host, s.leaves[service], tried)
	if l == nil {
		return false
	}
	choice := selector.Choice{Typical: s.typicalOf(host)}
	c := &loadCall{host: host, leaf: l, query: q, service: service, sent: s.now, ticket: s.tables[host].Begin(l.Leaf, &choice, s.now)}
	c.work = time.Duration(float64(loadWork) * (0.6 + 0.4*s.random.ExpFloat64()))
	q.calls[service] = append(q.calls[service], c)
	l.assigned++
	if len(tried) == 0 && s.measured() {
		s.firstCalls++
		if l.Center != center(host) {
			s.remoteCalls++
		}
	}
	s.after(s.hop(c), func() { s.receive(c) })
	if len(tried) == 0 {
		s.after(s.trigger(host), func() { s.hedge(c) })
	}
	return true
}

func (s *loadSimulation) hop(c *loadCall) time.Duration {
	if c.leaf.Center != center(c.host) {
		return 600 * time.Microsecond
	}
	return 100 * time.Microsecond
}

func (s *loadSimulation) hedge(c *loadCall) {
	if c.query.done[c.service] || len(c.query.calls[c.service]) > 1 {
		return
	}
	age := s.now.Sub(c.sent)
	if s.postpone && s.services > 1 && s.budgets[c.host].Share(fmt.Sprint(c.service), 0, s.now) < 0.5 &&
		age < s.trigger(c.host)*3/2 && age+s.trigger(c.host) <= 60*time.Millisecond {
		s.after(s.trigger(c.host), func() { s.hedge(c) })
		return
	}
	if !s.budgets[c.host].Spend(fmt.Sprint(c.service), 0, s.now) {
		s.after(s.trigger(c.host), func() { s.hedge(c) })
		return
	}
	if s.send(c.host, c.query, c.service) && s.measured() {
		s.hedges++
	}
}

func (s *loadSimulation) receive(c *loadCall) {
	if c.cancelled {
		return
	}
	c.leaf.waiting = append(c.leaf.waiting, c)
	s.startNext(c.leaf)
}

func (s *loadSimulation) startNext(l *loadLeaf) {
	for l.running < loadSlots && len(l.waiting) > 0 {
		c := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.running++
		c.running = true
		s.after(s.finish(l, s.now, c.work).Sub(s.now), func() { s.finished(c) })
	}
}

func (s *loadSimulation) finished(c *loadCall) {
	if c.cancelled {
		return
	}
	l := c.leaf
	report := &selector.Report{Others: l.running + len(l.waiting) - 1}
	if s.figures {
		report.Slowness = s.slowness(l, s.now)
	}
	if s.age != ownReports {
		report = nil
	}
	c.running = false
	l.running--
	l.assigned--
	s.startNext(l)
	s.after(s.hop(c), func() { s.answered(c, report) })
}

func (s *loadSimulation) answered(c *loadCall, report *selector.Report) {
	q := c.query
	if c.cancelled || q.done[c.service] {
		return
	}
	q.done[c.service] = true
	s.typical[c.host].Observe("r", s.now.Sub(c.sent))
	c.ticket.End(selector.Answered, report, s.now)
	for _, other := range q.calls[c.service] {
		if other != c {
			s.cancel(other)
		}
	}
	q.left--
	if q.left == s.services/20 && s.measured() {
		s.covered = append(s.covered, s.now.Sub(q.arrived))
	}
	if q.left == 0 && s.measured() {
		s.took = append(s.took, s.now.Sub(q.arrived))
	}
}

func (s *loadSimulation) cancel(c *loadCall) {
	c.cancelled = true
	c.ticket.End(selector.Abandoned, nil, s.now)
	l := c.leaf
	if c.running {
		l.running--
		l.assigned--
	} else if i := slices.Index(l.waiting, c); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.assigned--
	}
	s.startNext(l)
}

// informAt tells a host the load that leaves had some time ago.
func (s *loadSimulation) informAt(host int, leaves []*loadLeaf) {
	at := s.now.Add(-s.age)
	i := int(at.Sub(start) / loadTick)
	for _, l := range leaves {
		if at.Before(start) || i >= len(l.history) {
			continue
		}
		report := &selector.Report{Others: l.history[i]}
		if s.figures {
			report.Slowness = s.slowness(l, at)
		}
		s.tables[host].Report(l.Leaf, report, at)
	}
}

func untried(leaves []*loadLeaf, tried []string) []*loadLeaf {
	return slices.DeleteFunc(slices.Clone(leaves), func(l *loadLeaf) bool { return slices.Contains(tried, l.Name) })
}

// chooseAtRandom calls any leaf.
func chooseAtRandom(s *loadSimulation, _ int, leaves []*loadLeaf, tried []string) *loadLeaf {
	left := untried(leaves, tried)
	if len(left) == 0 {
		return nil
	}
	return left[s.random.IntN(len(left))]
}

// choosePerfectly calls the leaf that would answer first, with knowledge of everything but the work of calls.
func choosePerfectly(s *loadSimulation, host int, leaves []*loadLeaf, tried []string) *loadLeaf {
	var best *loadLeaf
	var first time.Time
	for _, l := range untried(leaves, tried) {
		work := float64(loadWork) * (1 + float64(max(0, l.assigned+1-loadSlots))/loadSlots)
		at := s.finish(l, s.now, time.Duration(work)).Add(time.Duration(l.assigned))
		if l.Center != center(host) {
			at = at.Add(time.Millisecond)
		}
		if best == nil || at.Before(first) {
			best, first = l, at
		}
	}
	return best
}

// chooseBySelector calls the leaf that this package chooses.
func chooseBySelector(s *loadSimulation, host int, leaves []*loadLeaf, tried []string) *loadLeaf {
	c := selector.Choice{Tried: tried, Center: center(host), Typical: s.typicalOf(host), Random: s.random.Float64}
	for _, l := range leaves {
		c.Holders = append(c.Holders, l.Leaf)
	}
	l, ok := s.tables[host].Choose(c, s.now)
	if !ok {
		return nil
	}
	return leaves[slices.Index(c.Holders, l)]
}
