package divider

import (
	"maps"
	"slices"
	"strconv"

	"lycheelift.example/lib/ranker"
)

// leastCover is the number of shards that a data centre must have leaves of for hosts there to be asked for them. The
// way to another host costs more than fewer leaf calls do.
const leastCover = 3

// Shard is one shard of a query.
type Shard struct {
	Service string
	// Centers are the data centres in which it has leaves.
	Centers []string
}

// Portion is some shards of a query, which hosts of one data centre gather.
type Portion struct {
	// Key names the portion among all.
	Key      string
	Center   string
	Services []string
}

// Divide divides a query of a host in a data centre among the data centres whose hosts are given. The portions of a data
// centre hold shards that have leaves there, at most size each: no leaf call need leave it, and one merged answer crosses
// between data centres in place of a leaf call for each shard. As few data centres as can be are asked, the own one
// first; shards that have leaves in none of them are gathered in the own one.
func (t *Table) Divide(own string, shards []Shard, hosts map[string][]string, size int) []Portion {
	left := make(map[string]bool, len(shards))
	for _, s := range shards {
		left[s.Service] = true
	}
	others := ranker.Order(t.self, slices.DeleteFunc(slices.Sorted(maps.Keys(hosts)), func(c string) bool { return c == own }))
	var out []Portion
	for center, found := own, true; found; center, found = widest(others, shards, left) {
		out = append(out, pieces(center, local(center, shards), left, size)...)
		others = slices.DeleteFunc(others, func(c string) bool { return c == center })
	}
	var rest []string
	for _, s := range shards {
		if left[s.Service] {
			rest = append(rest, s.Service)
		}
	}
	return append(out, pieces(own, rest, left, size)...)
}

// Keys returns the keys of the portions of a data centre's own shards.
func Keys(center string, shards []Shard, size int) []string {
	count := parts(len(local(center, shards)), size)
	out := make([]string, 0, count)
	for i := range count {
		out = append(out, key(center, i, count))
	}
	return out
}

// local returns the shards that have leaves in a data centre.
func local(center string, shards []Shard) []string {
	out := make([]string, 0, len(shards))
	for _, s := range shards {
		if slices.Contains(s.Centers, center) {
			out = append(out, s.Service)
		}
	}
	return out
}

// pieces cuts a data centre's shards into portions of nearly the same length and takes those that are left from them.
func pieces(center string, services []string, left map[string]bool, size int) []Portion {
	var out []Portion
	count := parts(len(services), size)
	for i := range count {
		p := Portion{Key: key(center, i, count), Center: center}
		for _, service := range services[i*len(services)/count : (i+1)*len(services)/count] {
			if left[service] {
				p.Services = append(p.Services, service)
				delete(left, service)
			}
		}
		if len(p.Services) > 0 {
			out = append(out, p)
		}
	}
	return out
}

// parts returns the number of portions of a size at most.
func parts(shards, size int) int {
	return (shards + size - 1) / max(size, 1)
}

func key(center string, i, count int) string {
	return center + "/" + strconv.Itoa(i) + "/" + strconv.Itoa(count)
}

// widest returns the data centre that has leaves of most of the shards that are left, when they are enough.
func widest(centers []string, shards []Shard, left map[string]bool) (string, bool) {
	best, most := "", leastCover-1
	for _, center := range centers {
		n := 0
		for _, service := range local(center, shards) {
			if left[service] {
				n++
			}
		}
		if n > most {
			best, most = center, n
		}
	}
	return best, most >= leastCover
}

// Responsible returns the hosts of a data centre that gather a portion there. Few hosts gather each, so that they hear
// enough of its leaves to know the slow ones, and their calls fit the leaves' connections.
func (t *Table) Responsible(key string, hosts []string) []string {
	return ranker.Order(key, hosts)[:min(len(hosts), t.gatherers)]
}

// Candidates returns the hosts that this host may ask for a portion, given the hosts of the portion's data centre. The
// only candidate is this host when it is responsible itself.
func (t *Table) Candidates(key string, hosts []string) []string {
	responsible := t.Responsible(key, hosts)
	if slices.Contains(responsible, t.self) {
		return []string{t.self}
	}
	out := ranker.Order(key+"/"+t.self, responsible)
	return out[:min(len(out), alternatives)]
}

// Callers bounds the number of hosts that gather a shard, given the hosts of each data centre.
func (t *Table) Callers(centers map[string][]string) int {
	out := 0
	for _, hosts := range centers {
		out += min(len(hosts), t.gatherers)
	}
	return out
}
