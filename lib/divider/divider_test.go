package divider_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/divider"
)

var start = time.Unix(1000, 0)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

func anyHost(string) bool { return true }

// gatherers is the number of hosts of a data centre that gather one portion.
const gatherers = 3

// placeShards spreads shards over data centres as the users' platform does: each shard has three leaves in consecutive
// data centres, and the next shard starts one data centre further.
func placeShards(shards, centers int) []divider.Shard {
	out := make([]divider.Shard, 0, shards)
	for i, service := range names("s", shards) {
		s := divider.Shard{Service: service}
		for k := range min(3, centers) {
			s.Centers = append(s.Centers, string(rune('a'+(i+k)%centers)))
		}
		out = append(out, s)
	}
	return out
}

// entryHosts returns entry hosts in data centres a, b and so on.
func entryHosts(counts ...int) map[string][]string {
	out := make(map[string][]string)
	for i, n := range counts {
		center := string(rune('a' + i))
		out[center] = names(center, n)
	}
	return out
}

func ExampleTable_Divide() {
	shards := []divider.Shard{
		{Service: "desk", Centers: []string{"a", "b"}},
		{Service: "boats", Centers: []string{"a"}},
		{Service: "names", Centers: []string{"b", "c"}},
		{Service: "ports", Centers: []string{"c"}},
		{Service: "files", Centers: []string{"c"}},
	}
	hosts := map[string][]string{"a": {"a0"}, "b": {"b0"}, "c": {"c0"}}
	for _, p := range divider.New("a0", 1).Divide("a", shards, hosts, 9) {
		fmt.Println(p.Center, p.Services)
	}
	// Output:
	// a [desk boats]
	// c [names ports files]
}

// Guards against shards that are in two portions or in none, and against portions above the maximum size.
func TestDivideKeepsEveryShard(t *testing.T) {
	for shards := range 100 {
		for _, size := range []int{1, 2, 9, 1000} {
			for centers := range 6 {
				in := placeShards(shards, centers+1)
				have := make(map[string]bool)
				keys := make(map[string]bool)
				for _, p := range divider.New("a0", gatherers).Divide("a", in, entryHosts(3, 3, 3), size) {
					qt.Assert(t, len(p.Services) > 0 && len(p.Services) <= size, qt.IsTrue)
					for _, service := range p.Services {
						qt.Assert(t, have[service], qt.IsFalse)
						have[service] = true
					}
					keys[p.Key] = true
				}
				qt.Assert(t, len(have), qt.Equals, shards)
			}
		}
	}
}

// largeSite returns 194 hosts in six data centres, and 42 shards.
func largeSite() (hosts map[string][]string, shards []divider.Shard) {
	return entryHosts(30, 39, 30, 29, 32, 34), placeShards(42, 6)
}

// Load: 42 shards with leaves in three of six data centres each. Guards against parts that cross between data centres
// unmerged, and against a query that is divided among more hosts than necessary.
func TestPortionsAreGatheredWhereTheirLeavesAre(t *testing.T) {
	hosts, shards := largeSite()
	centers := make(map[string][]string)
	for _, s := range shards {
		centers[s.Service] = s.Centers
	}
	asked := make(map[string]int)
	for own, all := range hosts {
		for _, self := range all {
			portions := divider.New(self, gatherers).Divide(own, shards, hosts, 9)
			qt.Assert(t, portions, qt.HasLen, 6)
			for _, p := range portions {
				asked[p.Center]++
				for _, service := range p.Services {
					qt.Assert(t, centers[service], qt.Contains, p.Center)
				}
			}
		}
	}
	for center, n := range asked {
		// Each data centre gathers half of its own queries and half of those of the opposite one.
		qt.Assert(t, n <= 3*(39+34), qt.IsTrue, qt.Commentf("%s: %d", center, n))
	}
}

// Load: a data centre is cut off, and leaves are removed. Guards against shards that are assigned to a data centre
// without hosts or leaves, and against a separate portion for each remaining shard.
func TestPortionsAvoidLostCenters(t *testing.T) {
	hosts, shards := largeSite()
	delete(hosts, "d")
	for i := range shards[:12] {
		shards[i].Centers = shards[i].Centers[:1]
	}
	shards[0].Centers = nil
	portions := divider.New("a0", gatherers).Divide("a", shards, hosts, 9)
	count := 0
	for _, p := range portions {
		qt.Assert(t, p.Center, qt.Not(qt.Equals), "d")
		count += len(p.Services)
	}
	qt.Assert(t, count, qt.Equals, len(shards))
	qt.Assert(t, len(portions) <= 10, qt.IsTrue, qt.Commentf("%d portions", len(portions)))
}

// Load: 194 hosts and 126 leaves of which many are slow: if all hosts gather, each host calls a leaf less than once a
// second. Guards against so many hosts calling a leaf that none measures it often enough, and against more hosts than
// its connection limit permits at two connections each.
func TestFewHostsCallALeaf(t *testing.T) {
	for _, load := range []struct {
		hosts       map[string][]string
		shards      []divider.Shard
		connections int
	}{
		{hosts: entryHosts(30, 39, 30, 29, 32, 34), shards: placeShards(42, 6), connections: 124},
		{hosts: entryHosts(30, 39, 30, 29, 32, 34), shards: placeShards(63, 6), connections: 124},
		{hosts: entryHosts(21, 21, 21, 20), shards: placeShards(36, 4), connections: 74},
		{hosts: entryHosts(21, 21, 21, 20), shards: placeShards(54, 4), connections: 74},
	} {
		callers := make(map[string]map[string]bool)
		for own, all := range load.hosts {
			for _, self := range all {
				table := divider.New(self, gatherers)
				for _, p := range table.Divide(own, load.shards, load.hosts, 9) {
					for _, service := range p.Services {
						if callers[service] == nil {
							callers[service] = make(map[string]bool)
						}
						callers[service][table.Candidates(p.Key, load.hosts[p.Center])[0]] = true
					}
				}
			}
		}
		limit := divider.New("a0", gatherers).Callers(load.hosts)
		for service, hosts := range callers {
			qt.Assert(t, len(hosts) <= limit, qt.IsTrue, qt.Commentf("%s: %d hosts", service, len(hosts)))
			qt.Assert(t, 2*len(hosts) <= load.connections, qt.IsTrue, qt.Commentf("%s: %d hosts", service, len(hosts)))
		}
	}
}

// candidates returns a host that is not responsible for the portion "key", and its candidates for that portion.
func candidates(t *testing.T) (self string, out []string) {
	hosts := names("h", 20)
	for _, self := range hosts {
		if out := divider.New(self, gatherers).Candidates("key", hosts); len(out) > 1 {
			return self, out
		}
	}
	t.Fatal("every host is responsible")
	return "", nil
}

// Guards against a host that delegates a portion for which it is itself responsible.
func TestResponsibleHostGathersItself(t *testing.T) {
	hosts := names("h", 20)
	responsible := 0
	for _, self := range hosts {
		table := divider.New(self, gatherers)
		c := table.Candidates("key", hosts)
		if len(c) == 1 {
			responsible++
			qt.Assert(t, table.Choose(c, anyHost, start), qt.Equals, self)
		}
	}
	qt.Assert(t, responsible, qt.Equals, gatherers)
}

// Load: a host that gathers portions is frozen or killed. Guards against delegating further portions to it, and against
// never choosing it again.
func TestLostHostIsNotAsked(t *testing.T) {
	self, c := candidates(t)
	table := divider.New(self, gatherers)
	table.Begin(c[0])
	table.End(c[0], true, start)
	qt.Assert(t, table.Choose(c, anyHost, start), qt.Equals, c[1])
	table.Begin(c[1])
	table.End(c[1], true, start)
	qt.Assert(t, table.Choose(c, anyHost, start), qt.Equals, self)
	table.Retain(c)
	qt.Assert(t, table.Choose(c, anyHost, start.Add(time.Second)), qt.Equals, self)
	qt.Assert(t, table.Choose(c, anyHost, start.Add(3*time.Second)), qt.Equals, c[0])
	table.Answered(c[1], 10*time.Millisecond, start)
	table.Retain(nil)
	qt.Assert(t, table.Choose(c, anyHost, start), qt.Equals, c[0])
}

// Load: a host is slow or has many pending portions. Guards against queries that wait for it while another host is
// idle.
func TestSlowHostIsAvoided(t *testing.T) {
	self, c := candidates(t)
	table := divider.New(self, gatherers)
	for i, latency := range []time.Duration{100 * time.Millisecond, 10 * time.Millisecond} {
		table.Begin(c[i])
		table.Answered(c[i], latency, start)
		table.End(c[i], false, start)
	}
	qt.Assert(t, table.Choose(c, anyHost, start), qt.Equals, c[1])
	for range 20 {
		table.Begin(c[1])
	}
	qt.Assert(t, table.Choose(c, anyHost, start), qt.Equals, c[0])
	qt.Assert(t, table.Choose(c, func(h string) bool { return h == c[1] }, start), qt.Equals, c[1])
	qt.Assert(t, table.Choose(c, func(string) bool { return false }, start), qt.Equals, self)
}

// Load: a rolling restart. Guards against several processes that use the same share of a portion's resource in one
// window: the host that was responsible, its successor, and the first host after its restart.
func TestDutyBeginsAfterAWindow(t *testing.T) {
	const window = 10 * time.Second
	table := divider.New("self", gatherers)
	qt.Assert(t, table.IsResponsible("key", window, start), qt.IsFalse)
	table.SetResponsible([]string{"key"}, start)
	qt.Assert(t, table.IsResponsible("key", window, start.Add(window-1)), qt.IsFalse)
	table.SetResponsible([]string{"key", "other"}, start.Add(window))
	qt.Assert(t, table.IsResponsible("key", window, start.Add(window)), qt.IsTrue)
	qt.Assert(t, table.IsResponsible("other", window, start.Add(window)), qt.IsFalse)
	table.SetResponsible(nil, start.Add(window))
	table.SetResponsible([]string{"key"}, start.Add(window+time.Second))
	qt.Assert(t, table.IsResponsible("key", window, start.Add(window+time.Second)), qt.IsFalse)
}

// Guards against a host that considers itself cut off although hosts in other data centres answer it.
func TestHeardIsTheLatestAnswer(t *testing.T) {
	table := divider.New("self", gatherers)
	table.Answered("b1", time.Millisecond, start)
	table.Answered("b2", time.Millisecond, start.Add(time.Second))
	table.Answered("c1", time.Millisecond, start.Add(time.Minute))
	qt.Assert(t, table.LastAnswered([]string{"b1", "b2", "b3"}), qt.Equals, start.Add(time.Second))
	qt.Assert(t, table.LastAnswered(nil).IsZero(), qt.IsTrue)
}
