package recorder

import (
	"cmp"
	"slices"
	"time"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Query selects answers. Zero values match everything.
type Query struct {
	Tenant   string
	Caller   string
	Service  string
	Snapshot uint64
	Version  uint64
	From     time.Time
	Until    time.Time
	Limit    int
}

// Matches reports whether the query selects the answer.
func (q *Query) Matches(a *statev1.Answer) bool {
	at := a.GetTime().AsTime()
	switch {
	case q.Tenant != "" && a.GetTenant() != q.Tenant,
		q.Caller != "" && a.GetCaller() != q.Caller,
		q.Service != "" && a.GetService() != q.Service,
		q.Snapshot != 0 && a.GetSnapshot() != q.Snapshot,
		q.Version != 0 && a.GetVersion() != q.Version,
		!q.From.IsZero() && at.Before(q.From),
		!q.Until.IsZero() && at.After(q.Until):
		return false
	}
	return true
}

// Merge combines answers from several control hosts, removes duplicates and sorts them by time.
func Merge(lists ...[]*statev1.Answer) []*statev1.Answer {
	type identity struct {
		source
		number uint64
	}
	seen := make(map[identity]bool)
	var out []*statev1.Answer
	for _, list := range lists {
		for _, a := range list {
			id := identity{source{a.GetHost(), a.GetIncarnation()}, a.GetNumber()}
			if !seen[id] {
				seen[id] = true
				out = append(out, a)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *statev1.Answer) int {
		return cmp.Or(a.GetTime().AsTime().Compare(b.GetTime().AsTime()), cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetNumber(), b.GetNumber()))
	})
	return out
}
