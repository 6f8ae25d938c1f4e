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

func ExampleDivide() {
	fmt.Println(divider.Divide([]string{"a", "b", "c", "d", "e"}, 2))
	// Output: [[a] [b c] [d e]]
}

// Guards against shards that are asked twice or not at all, and against portions above the size.
func TestDivideKeepsEveryShard(t *testing.T) {
	for shards := range 100 {
		for _, size := range []int{1, 2, 9, 1000} {
			var have []string
			in := names("s", shards)
			for _, p := range divider.Divide(in, size) {
				qt.Assert(t, len(p) > 0 && len(p) <= size, qt.IsTrue)
				have = append(have, p...)
			}
			qt.Assert(t, len(have), qt.Equals, shards)
			for i := range have {
				qt.Assert(t, have[i], qt.Equals, in[i])
			}
		}
	}
}

// Load: 83 hosts in four data centres and leaves with 74 connections. Guards against more hosts that call one leaf than
// it has connections for, at two connections each.
func TestHostsOfALeafFitItsConnections(t *testing.T) {
	const centers, hosts, connections, each = 4, 21, 74, 2
	for _, shards := range []int{36, 54} {
		portions := divider.Divide(names("s", shards), 9)
		for _, p := range portions {
			callers := 0
			for center := range centers {
				all := names(fmt.Sprintf("h%d-", center), hosts)
				asked := make(map[string]bool)
				for _, self := range all {
					for _, h := range divider.New(self).Candidates(p[0], len(portions), all) {
						asked[h] = true
					}
				}
				callers += len(asked)
			}
			qt.Assert(t, callers*each <= connections, qt.IsTrue, qt.Commentf("%d hosts call leaves of %s", callers, p[0]))
		}
	}
}

// candidates returns a host that is not responsible for a portion, and the candidates for it.
func candidates(t *testing.T) (self string, out []string) {
	hosts := names("h", 20)
	for _, self := range hosts {
		if out := divider.New(self).Candidates("key", 4, hosts); len(out) > 1 {
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
		table := divider.New(self)
		c := table.Candidates("key", 4, hosts)
		if len(c) == 1 {
			responsible++
			qt.Assert(t, table.Choose(c, all, start), qt.Equals, self)
		}
	}
	qt.Assert(t, responsible, qt.Equals, 5)
}

// Load: a host that gathers portions is frozen or killed. Guards against queries that go on to lose their portions to
// it, and against a host that is never asked again.
func TestLostHostIsNotAsked(t *testing.T) {
	self, c := candidates(t)
	table := divider.New(self)
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
	table := divider.New(self)
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
