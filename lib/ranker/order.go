// Package ranker assigns leaves to cells and hosts by rendezvous hashing.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the names sorted by descending rendezvous weight for the key.
// Removing a name does not change the order of the others.
func Order(key string, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	list := make([]weighted, 0, len(names))
	for _, name := range names {
		list = append(list, weighted{name: name, weight: weight(key, name)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(list))
	for i, w := range list {
		out[i] = w.name
	}
	return out
}

// weight separates key and name by a zero byte, which neither may contain.
func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
