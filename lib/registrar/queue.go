package registrar

import (
	"cmp"
	"strings"
)

// queue is a heap of entries, the earliest issue time first.
type queue []*entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return compare(q[i], q[j]) < 0 }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push adds an entry; container/heap calls it.
func (q *queue) Push(x any) {
	e, ok := x.(*entry)
	if !ok {
		return
	}
	e.place = len(*q)
	*q = append(*q, e)
}

// Pop removes the last entry; container/heap calls it.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// compare orders entries by issue time and then by name, which is the same on every host.
func compare(a, b *entry) int {
	return cmp.Or(a.issued.Compare(b.issued), strings.Compare(a.name.tenant, b.name.tenant), strings.Compare(a.name.key, b.name.key))
}
