// Package merger merges the records of several parts and keeps those that sort highest.
package merger

import (
	"bytes"
	"sort"
)

// Size is the length of a record in bytes.
const Size = 16

// Merge returns the top records of all parts in descending order, compared bytewise. Equal records are all kept. A
// trailing fragment of a part that is shorter than a record is ignored.
func Merge(parts [][]byte, top int) []byte {
	count := 0
	for _, p := range parts {
		count += len(p) / Size
	}
	limit := min(count, max(top, 0))
	out := make([]byte, 0, limit*Size)
	for _, p := range parts {
		for len(p) >= Size {
			out = insert(out, p[:Size], limit*Size)
			p = p[Size:]
		}
	}
	return out
}

// insert adds a record to records in descending order and keeps at most limit bytes of them. Most records of a large
// answer are lower than all kept ones and cost only one comparison.
func insert(sorted, record []byte, limit int) []byte {
	if len(sorted) == limit && (limit == 0 || bytes.Compare(record, sorted[limit-Size:]) <= 0) {
		return sorted
	}
	at := Size * sort.Search(len(sorted)/Size, func(i int) bool {
		return bytes.Compare(sorted[i*Size:(i+1)*Size], record) < 0
	})
	if len(sorted) < limit {
		sorted = sorted[:len(sorted)+Size]
	}
	copy(sorted[at+Size:], sorted[at:])
	copy(sorted[at:], record)
	return sorted
}
