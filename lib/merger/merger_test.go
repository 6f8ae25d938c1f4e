package merger_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/merger"
)

func record(letter string) string {
	return strings.Repeat(letter, merger.Size)
}

func ExampleMerge() {
	parts := [][]byte{[]byte(record("b") + record("d")), []byte(record("a") + record("c"))}
	fmt.Println(string(merger.Merge(parts, 2)))
	// Output: ddddddddddddddddcccccccccccccccc
}

// Guards against dropping equal records, against including a truncated record, and against returning more records than
// there are.
func TestMerge(t *testing.T) {
	parts := [][]byte{[]byte(record("b") + record("b") + "zzz"), []byte(record("b")), nil}
	qt.Assert(t, string(merger.Merge(parts, 2)), qt.Equals, record("b")+record("b"))
	qt.Assert(t, string(merger.Merge(parts, 9)), qt.Equals, record("b")+record("b")+record("b"))
	qt.Assert(t, merger.Merge(parts, 0), qt.HasLen, 0)
}

// Guards against keeping lower records instead of higher ones in any input order, and against modifying the parts.
func TestMergeKeepsTheGreatest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var all []string
		parts := make([][]byte, random.IntN(5))
		for i := range parts {
			for range random.IntN(20) {
				r := record(string(rune('a' + random.IntN(6))))
				all, parts[i] = append(all, r), append(parts[i], r...)
			}
		}
		before := bytes.Join(parts, nil)
		top := random.IntN(30)
		slices.Sort(all)
		slices.Reverse(all)
		qt.Assert(t, string(merger.Merge(parts, top)), qt.Equals, strings.Join(all[:min(top, len(all))], ""))
		qt.Assert(t, bytes.Join(parts, nil), qt.DeepEquals, before)
	}
}
