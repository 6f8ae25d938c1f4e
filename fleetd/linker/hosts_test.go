package linker

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Entry hosts join and leave one after the other. Guards against a follower whose list differs from that of the sender.
func TestChangesLeadFromOneListToTheNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := func(name string) []*peerv1.EntryHost {
			var out []*peerv1.EntryHost
			for _, address := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-f][0-9]`), 0, 20, rapid.ID[string]).Draw(t, name) {
				out = append(out, &peerv1.EntryHost{Address: address, Center: address[:1]})
			}
			slices.SortFunc(out, ByAddress)
			return out
		}
		known, hosts := list("known"), list("hosts")
		have := known
		if c := Diff(known, hosts); c != nil {
			have = apply(known, c)
		}
		slices.SortFunc(have, ByAddress)
		if !slices.EqualFunc(have, hosts, func(a, b *peerv1.EntryHost) bool { return ByAddress(a, b) == 0 }) {
			t.Fatalf("have %v, want %v", have, hosts)
		}
	})
}

// Guards against hosts that stay listed after a complete list without them.
func TestWholeListReplacesTheLast(t *testing.T) {
	known := []*peerv1.EntryHost{{Address: "a"}, {Address: "b"}}
	complete := &peerv1.EntryHosts{Hosts: []*peerv1.EntryHost{{Address: "c"}}, Whole: true}
	qt.Assert(t, apply(known, complete), qt.HasLen, 1)
}
