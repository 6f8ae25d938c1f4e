package divider

import (
	"maps"
	"slices"
	"strconv"

	"lycheelift.example/lib/ranker"
)

// minShardsPerCenter is the number of shards with leaves in a remote data centre from which a host there gathers them.
// For fewer shards, the extra hop to that host costs more than the direct leaf calls.
const minShardsPerCenter = 3

// Shard is one shard of a query.
type Shard struct {
	Service string
	// Centers are the data centres in which the shard has leaves.
	Centers []string
}

// Portion is a group of a query's shards that one host gathers. It is assigned to a data centre.
type Portion struct {
	// Key identifies the portion.
	Key      string
	Center   string
	Services []string
}

// Divide divides a query into portions. Own is this host's data centre, and hosts are the hosts of each data centre.
// The portions of a data centre hold shards that have leaves there, at most size each: no leaf call needs to leave the
// data centre, and one merged answer crosses between data centres instead of one leaf call for each shard. Portions go
// to as few data centres as possible, this host's own first. Shards without leaves in any of them are gathered in the
// own one.
func (t *Table) Divide(own string, shards []Shard, hosts map[string][]string, size int) []Portion {
	unassigned := make(map[string]bool, len(shards))
	for _, s := range shards {
		unassigned[s.Service] = true
	}
	others := ranker.Order(t.self, slices.DeleteFunc(slices.Sorted(maps.Keys(hosts)), func(c string) bool { return c == own }))
	var out []Portion
	for center, found := own, true; found; center, found = largestCenter(others, shards, unassigned) {
		out = append(out, cutPortions(center, localServices(center, shards), unassigned, size)...)
		others = slices.DeleteFunc(others, func(c string) bool { return c == center })
	}
	var unplaced []string
	for _, s := range shards {
		if unassigned[s.Service] {
			unplaced = append(unplaced, s.Service)
		}
	}
	return append(out, cutPortions(own, unplaced, unassigned, size)...)
}

// Keys returns the keys of the portions of the shards that have leaves in a data centre.
func Keys(center string, shards []Shard, size int) []string {
	count := portionCount(len(localServices(center, shards)), size)
	out := make([]string, 0, count)
	for i := range count {
		out = append(out, portionKey(center, i, count))
	}
	return out
}

// localServices returns the shards that have leaves in a data centre.
func localServices(center string, shards []Shard) []string {
	out := make([]string, 0, len(shards))
	for _, s := range shards {
		if slices.Contains(s.Centers, center) {
			out = append(out, s.Service)
		}
	}
	return out
}

// cutPortions cuts a data centre's shards into portions of nearly equal size, skips the shards that are already
// assigned, and marks the others as assigned.
func cutPortions(center string, services []string, unassigned map[string]bool, size int) []Portion {
	var out []Portion
	count := portionCount(len(services), size)
	for i := range count {
		p := Portion{Key: portionKey(center, i, count), Center: center}
		for _, service := range services[i*len(services)/count : (i+1)*len(services)/count] {
			if unassigned[service] {
				p.Services = append(p.Services, service)
				delete(unassigned, service)
			}
		}
		if len(p.Services) > 0 {
			out = append(out, p)
		}
	}
	return out
}

// portionCount returns the number of portions for a number of shards at a maximum size.
func portionCount(shards, size int) int {
	return (shards + size - 1) / max(size, 1)
}

func portionKey(center string, i, count int) string {
	return center + "/" + strconv.Itoa(i) + "/" + strconv.Itoa(count)
}

// largestCenter returns the data centre that has leaves of the most unassigned shards. It reports false when no data
// centre has leaves of minShardsPerCenter of them.
func largestCenter(centers []string, shards []Shard, unassigned map[string]bool) (string, bool) {
	best, largest := "", minShardsPerCenter-1
	for _, center := range centers {
		n := 0
		for _, service := range localServices(center, shards) {
			if unassigned[service] {
				n++
			}
		}
		if n > largest {
			best, largest = center, n
		}
	}
	return best, largest >= minShardsPerCenter
}

// Responsible returns the hosts of a data centre that gather a portion there. Only a few hosts gather each portion, so
// that each makes enough calls to its leaves to detect slow ones, and the leaves' connection limits are sufficient.
func (t *Table) Responsible(key string, hosts []string) []string {
	return ranker.Order(key, hosts)[:min(len(hosts), t.gatherers)]
}

// Candidates returns the hosts to which this host may delegate a portion, given the hosts of the portion's data centre.
// When this host is responsible for the portion, it is the only candidate.
func (t *Table) Candidates(key string, hosts []string) []string {
	responsible := t.Responsible(key, hosts)
	if slices.Contains(responsible, t.self) {
		return []string{t.self}
	}
	out := ranker.Order(key+"/"+t.self, responsible)
	return out[:min(len(out), maxCandidates)]
}

// Callers returns the largest number of hosts that gather a shard, given the hosts of each data centre.
func (t *Table) Callers(centers map[string][]string) int {
	out := 0
	for _, hosts := range centers {
		out += min(len(hosts), t.gatherers)
	}
	return out
}
