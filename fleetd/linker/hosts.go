package linker

import (
	"cmp"
	"slices"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// ByAddress compares entry hosts by address.
func ByAddress(a, b *peerv1.EntryHost) int {
	return cmp.Compare(a.GetAddress(), b.GetAddress())
}

// Diff returns the changes from the known entry hosts to the given ones, or nil if there are none. Both lists must be
// sorted by address.
func Diff(known, hosts []*peerv1.EntryHost) *peerv1.EntryHosts {
	out := &peerv1.EntryHosts{Hosts: missing(known, hosts)}
	for _, h := range missing(hosts, known) {
		out.Gone = append(out.Gone, h.GetAddress())
	}
	if len(out.GetHosts())+len(out.GetGone()) == 0 {
		return nil
	}
	return out
}

// missing returns the hosts of the second list that are not in the first. The first must be sorted by address.
func missing(first, second []*peerv1.EntryHost) []*peerv1.EntryHost {
	var out []*peerv1.EntryHost
	for _, h := range second {
		if _, ok := slices.BinarySearchFunc(first, h, ByAddress); !ok {
			out = append(out, h)
		}
	}
	return out
}

// apply returns the known entry hosts with the changes of a message applied.
func apply(known []*peerv1.EntryHost, c *peerv1.EntryHosts) []*peerv1.EntryHost {
	if c.GetWhole() {
		return c.GetHosts()
	}
	out := slices.DeleteFunc(slices.Clone(known), func(h *peerv1.EntryHost) bool { return slices.Contains(c.GetGone(), h.GetAddress()) })
	return append(out, c.GetHosts()...)
}
