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

func all(string) bool { return true }

// gatherers is the number of hosts of a data centre that gather one portion.
const gatherers = 3

// placed spreads shards over data centres as the users' platform does: each has three leaves, in data centres next to
// each other, and the next shard begins one further.
func placed(shards, centers int) []divider.Shard {
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

// entries are entry hosts in data centres a, b and so on.
func entries(counts ...int) map[string][]string {
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

// Guards against shards that are asked twice or not at all, and against portions above the size.
func TestDivideKeepsEveryShard(t *testing.T) {
	for shards := range 100 {
		for _, size := range []int{1, 2, 9, 1000} {
			for centers := range 6 {
				in := placed(shards, centers+1)
				have := make(map[string]bool)
				keys := make(map[string]bool)
				for _, p := range divider.New("a0", gatherers).Divide("a", in, entries(3, 3, 3), size) {
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

// large is the hosts and the shards of 194 hosts in six data centres.
func large() (hosts map[string][]string, shards []divider.Shard) {
	return entries(30, 39, 30, 29, 32, 34), placed(42, 6)
}

// Load: 42 shards with leaves in three of six data centres each. Guards against parts that cross between data centres one
// by one, and against a query that is divided among more hosts than need be.
func TestPortionsAreGatheredWhereTheirLeavesAre(t *testing.T) {
	hosts, shards := large()
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

// Load: a data centre is cut off, and leaves leave. Guards against shards that are sent to a data centre whose hosts or
// leaves are gone, and against a host for each shard that is left over.
func TestPortionsAvoidLostCenters(t *testing.T) {
	hosts, shards := large()
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

// Load: 194 hosts and 126 leaves of which many are slow: a host hears each leaf less than once a second when all hosts
// gather. Guards against more hosts that call a leaf first than hear enough of it, and against more than its connections
// suffice for, at two each.
func TestFewHostsCallALeaf(t *testing.T) {
	for _, load := range []struct {
		hosts       map[string][]string
		shards      []divider.Shard
		connections int
	}{
		{hosts: entries(30, 39, 30, 29, 32, 34), shards: placed(42, 6), connections: 124},
		{hosts: entries(30, 39, 30, 29, 32, 34), shards: placed(63, 6), connections: 124},
		{hosts: entries(21, 21, 21, 20), shards: placed(36, 4), connections: 74},
		{hosts: entries(21, 21, 21, 20), shards: placed(54, 4), connections: 74},
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
		most := divider.New("a0", gatherers).Callers(load.hosts)
		for service, hosts := range callers {
			qt.Assert(t, len(hosts) <= most, qt.IsTrue, qt.Commentf("%s: %d hosts", service, len(hosts)))
			qt.Assert(t, 2*len(hosts) <= load.connections, qt.IsTrue, qt.Commentf("%s: %d hosts", service, len(hosts)))
		}
	}
}

// candidates returns a host that is not responsible for a portion, and the candidates for it.
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

// Guards against a host that asks another one for a portion that it would itself gather.
func TestResponsibleHostGathersItself(t *testing.T) {
	hosts := names("h", 20)
	responsible := 0
	for _, self := range hosts {
		table := divider.New(self, gatherers)
		c := table.Candidates("key", hosts)
		if len(c) == 1 {
			responsible++
			qt.Assert(t, table.Choose(c, all, start), qt.Equals, self)
		}
	}
	qt.Assert(t, responsible, qt.Equals, gatherers)
}

// Load: a host that gathers portions is frozen or killed. Guards against queries that go on to lose their portions to
// it, and against a host that is never asked again.
func TestLostHostIsNotAsked(t *testing.T) {
	self, c := candidates(t)
	table := divider.New(self, gatherers)
	table.Begin(c[0])
	table.End(c[0], true, start)
	qt.Assert(t, table.Choose(c, all, start), qt.Equals, c[1])
	table.Begin(c[1])
	table.End(c[1], true, start)
	qt.Assert(t, table.Choose(c, all, start), qt.Equals, self)
	table.Keep(c)
	qt.Assert(t, table.Choose(c, all, start.Add(time.Second)), qt.Equals, self)
	qt.Assert(t, table.Choose(c, all, start.Add(3*time.Second)), qt.Equals, c[0])
	table.Answered(c[1], 10*time.Millisecond, start)
	table.Keep(nil)
	qt.Assert(t, table.Choose(c, all, start), qt.Equals, c[0])
}

// Load: a host is slow, or has many portions open. Guards against queries that wait for it while another host is free.
func TestSlowHostIsAvoided(t *testing.T) {
	self, c := candidates(t)
	table := divider.New(self, gatherers)
	for i, took := range []time.Duration{100 * time.Millisecond, 10 * time.Millisecond} {
		table.Begin(c[i])
		table.Answered(c[i], took, start)
		table.End(c[i], false, start)
	}
	qt.Assert(t, table.Choose(c, all, start), qt.Equals, c[1])
	for range 20 {
		table.Begin(c[1])
	}
	qt.Assert(t, table.Choose(c, all, start), qt.Equals, c[0])
	qt.Assert(t, table.Choose(c, func(h string) bool { return h == c[1] }, start), qt.Equals, c[1])
	qt.Assert(t, table.Choose(c, func(string) bool { return false }, start), qt.Equals, self)
}

// Load: hosts are stopped and started in turn. Guards against several processes that each use what the hosts of a portion
// share among them, in one window: the one that was responsible, its successor, and the first one after its start.
func TestDutyBeginsAfterAWindow(t *testing.T) {
	const window = 10 * time.Second
	table := divider.New("self", gatherers)
	qt.Assert(t, table.OnDuty("key", window, start), qt.IsFalse)
	table.Duties([]string{"key"}, start)
	qt.Assert(t, table.OnDuty("key", window, start.Add(window-1)), qt.IsFalse)
	table.Duties([]string{"key", "other"}, start.Add(window))
	qt.Assert(t, table.OnDuty("key", window, start.Add(window)), qt.IsTrue)
	qt.Assert(t, table.OnDuty("other", window, start.Add(window)), qt.IsFalse)
	table.Duties(nil, start.Add(window))
	table.Duties([]string{"key"}, start.Add(window+time.Second))
	qt.Assert(t, table.OnDuty("key", window, start.Add(window+time.Second)), qt.IsFalse)
}

// Guards against a host that takes itself for cut off while hosts elsewhere answer it.
func TestHeardIsTheLatestAnswer(t *testing.T) {
	table := divider.New("self", gatherers)
	table.Answered("b1", time.Millisecond, start)
	table.Answered("b2", time.Millisecond, start.Add(time.Second))
	table.Answered("c1", time.Millisecond, start.Add(time.Minute))
	qt.Assert(t, table.Heard([]string{"b1", "b2", "b3"}), qt.Equals, start.Add(time.Second))
	qt.Assert(t, table.Heard(nil).IsZero(), qt.IsTrue)
}
