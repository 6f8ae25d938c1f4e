package roller

import (
	"slices"
	"time"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// slotTime is the resolution of recent counts, and slots how many are kept.
	slotTime = time.Second
	slots    = 10
	// rateSlots is the number of complete slots from which the present rate is taken.
	rateSlots = 3
	// reportTimeout is the age from which a host's report says nothing about the present.
	reportTimeout = 1500 * time.Millisecond
	// maxReporters bounds the processes whose counts are kept for one order.
	maxReporters = 8192
)

// slot holds the counts of one second.
type slot struct {
	begin  time.Time
	routes map[string]*[2]Counts
}

// reporter is one process of an entry host.
type reporter struct {
	host string
	boot uint64
}

type report struct {
	routes   map[string]*[2]Counts
	received time.Time
	revision uint64
	drained  bool
}

// Receive adds the counts of a host. Counts that are older than others of the same process are ignored.
func (w *Watch) Receive(m *peerv1.ServiceCounts, now time.Time) {
	if m.GetOrder() != w.rollout.GetOrder() || len(m.GetRoutes()) > 2*(maxRoutes+1) {
		return
	}
	key := reporter{host: m.GetHost(), boot: m.GetBoot()}
	old, known := w.reports[key]
	if !known && len(w.reports) >= maxReporters {
		return
	}
	next := &report{routes: make(map[string]*[2]Counts), received: now, revision: m.GetRevision(), drained: m.GetDrained()}
	for _, c := range m.GetRoutes() {
		pairOf(next.routes, c.GetRoute())[index(c.GetTarget())] = *decodeCounts(c)
	}
	if known && m.GetRevision() < old.revision {
		return
	}
	changes, ok := difference(next, old)
	if !ok {
		return
	}
	if w.first.IsZero() {
		w.first = now
	}
	w.reports[key] = next
	addAll(w.total, changes)
	if w.isWarm(now) {
		addAll(w.warm, changes)
	}
	// A new leader does not know when the first counts of a host were made.
	if known || w.whole {
		addAll(w.slot(now).routes, changes)
	}
}

func index(target bool) int {
	if target {
		return 1
	}
	return 0
}

func pairOf(routes map[string]*[2]Counts, route string) *[2]Counts {
	pair := routes[route]
	if pair == nil {
		pair = &[2]Counts{}
		routes[route] = pair
	}
	return pair
}

// difference returns the counts that are new in a report, and false if the report is older than the other.
func difference(next, old *report) (map[string]*[2]Counts, bool) {
	if old == nil {
		return next.routes, true
	}
	out := make(map[string]*[2]Counts, len(next.routes))
	for route := range old.routes {
		if next.routes[route] == nil {
			return nil, false
		}
	}
	for route, pair := range next.routes {
		before := old.routes[route]
		if before == nil {
			before = &[2]Counts{}
		}
		to := pairOf(out, route)
		for i := range pair {
			change, ok := pair[i].minus(&before[i])
			if !ok {
				return nil, false
			}
			to[i] = change
		}
	}
	return out, true
}

func addAll(to, from map[string]*[2]Counts) {
	for route, pair := range from {
		sum := pairOf(to, route)
		for i := range pair {
			sum[i].add(&pair[i])
		}
	}
}

// slot returns the present slot.
func (w *Watch) slot(now time.Time) *slot {
	if n := len(w.recent); n > 0 && now.Sub(w.recent[n-1].begin) < slotTime {
		return &w.recent[n-1]
	}
	w.recent = append(w.recent, slot{begin: now, routes: make(map[string]*[2]Counts)})
	if len(w.recent) > slots {
		w.recent = slices.Delete(w.recent, 0, len(w.recent)-slots)
	}
	return &w.recent[len(w.recent)-1]
}
