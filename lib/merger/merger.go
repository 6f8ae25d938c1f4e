// Package merger merges the records of several parts into the greatest ones.
package merger

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// Merge returns the greatest top records of all parts, greatest first, compared byte by byte. Equal records all
// count. A remainder of a part that is shorter than a record is left out.
func Merge(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= Size {
			records = append(records, p[:Size])
			p = p[Size:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), max(top, 0))]
	out := make([]byte, 0, len(records)*Size)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
