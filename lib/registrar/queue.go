package registrar

import (
	"cmp"
	"strings"
)

// queue is a min-heap of entries by issue time.
type queue []*entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return compare(q[i], q[j]) < 0 }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e, ok := x.(*entry)
	if !ok {
		return
	}
	e.heapIndex = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// compare orders entries by issue time, tenant and key, so that the order is the same on every host.
func compare(a, b *entry) int {
	return cmp.Or(a.issued.Compare(b.issued), strings.Compare(a.id.tenant, b.id.tenant), strings.Compare(a.id.key, b.id.key))
}
