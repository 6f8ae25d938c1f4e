package linker

import (
	"cmp"
	"slices"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// ByAddress orders entry hosts.
func ByAddress(a, b *peerv1.EntryHost) int {
	return cmp.Compare(a.GetAddress(), b.GetAddress())
}

// Changes returns what must be told to a host that knows of some entry hosts, so that it knows of others, or nil when it
// knows of them already. Both lists are sorted by address.
func Changes(known, hosts []*peerv1.EntryHost) *peerv1.EntryHosts {
	out := &peerv1.EntryHosts{Hosts: missing(known, hosts)}
	for _, h := range missing(hosts, known) {
		out.Gone = append(out.Gone, h.GetAddress())
	}
	if len(out.GetHosts())+len(out.GetGone()) == 0 {
		return nil
	}
	return out
}

// missing returns the hosts of the second list that the first lacks.
func missing(first, second []*peerv1.EntryHost) []*peerv1.EntryHost {
	var out []*peerv1.EntryHost
	for _, h := range second {
		if _, ok := slices.BinarySearchFunc(first, h, ByAddress); !ok {
			out = append(out, h)
		}
	}
	return out
}

// apply returns the entry hosts of which a stream has told, after a message with changes.
func apply(known []*peerv1.EntryHost, c *peerv1.EntryHosts) []*peerv1.EntryHost {
	if c.GetWhole() {
		return c.GetHosts()
	}
	out := slices.DeleteFunc(slices.Clone(known), func(h *peerv1.EntryHost) bool { return slices.Contains(c.GetGone(), h.GetAddress()) })
	return append(out, c.GetHosts()...)
}
