package roller

import (
	"time"
)

// isWarm reports whether slow answers at a time are no longer attributed to leaves that are cold without saying so.
func (w *Watch) isWarm(at time.Time) bool {
	return at.Sub(w.rollout.GetBegan().AsTime()) >= w.schedule.grace
}

// judge compares the versions, on each route and on all together, in the recent past and since the beginning.
func (w *Watch) judge(now time.Time) verdict {
	recent, timed := make(map[string]*[2]Counts), make(map[string]*[2]Counts)
	for _, s := range w.recent {
		if now.Sub(s.begin) > slots*slotTime {
			continue
		}
		addAll(recent, s.routes)
		if w.isWarm(s.begin) {
			addAll(timed, s.routes)
		}
	}
	before := sum(w.total)
	for _, span := range []map[string]*[2]Counts{recent, w.total} {
		if v := w.judgeRoutes(span, false); v.bad {
			return v
		}
		// Latencies of different routes cannot be added up.
		if all := sum(span); compare("", &all[0], &before[0], &all[1], false).bad {
			return compare("", &all[0], &before[0], &all[1], false)
		}
	}
	for _, span := range []map[string]*[2]Counts{timed, w.warm} {
		if v := w.judgeRoutes(span, true); v.bad {
			return v
		}
	}
	return verdict{}
}

// judgeRoutes compares the versions on each route in a span.
func (w *Watch) judgeRoutes(span map[string]*[2]Counts, timed bool) verdict {
	for route, pair := range span {
		if v := compare(route, &pair[0], &pairOf(w.total, route)[0], &pair[1], timed); v.bad {
			return v
		}
	}
	return verdict{}
}

// sum adds up the counts of all routes.
func sum(routes map[string]*[2]Counts) *[2]Counts {
	out := &[2]Counts{}
	for _, pair := range routes {
		for i := range pair {
			out[i].add(&pair[i])
		}
	}
	return out
}
