// Package merger merges the records of several parts into the greatest ones.
package merger

import (
	"bytes"
	"sort"
)

// Size is the length of a record in bytes.
const Size = 16

// Merge returns the greatest top records of all parts, greatest first, compared byte by byte. Equal records all
// count. A remainder of a part that is shorter than a record is left out.
func Merge(parts [][]byte, top int) []byte {
	count := 0
	for _, p := range parts {
		count += len(p) / Size
	}
	most := min(count, max(top, 0))
	out := make([]byte, 0, most*Size)
	for _, p := range parts {
		for len(p) >= Size {
			out = insert(out, p[:Size], most*Size)
			p = p[Size:]
		}
	}
	return out
}

// insert puts a record into sorted records, of which the least are left out beyond a number of bytes. Most records of a
// large answer are less than all that are kept, and cost one comparison.
func insert(sorted, record []byte, most int) []byte {
	if len(sorted) == most && (most == 0 || bytes.Compare(record, sorted[most-Size:]) <= 0) {
		return sorted
	}
	at := Size * sort.Search(len(sorted)/Size, func(i int) bool {
		return bytes.Compare(sorted[i*Size:(i+1)*Size], record) < 0
	})
	if len(sorted) < most {
		sorted = sorted[:len(sorted)+Size]
	}
	copy(sorted[at+Size:], sorted[at:])
	copy(sorted[at:], record)
	return sorted
}
