package merger_test

import (
	"fmt"
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

// Guards against lost equal records, against a cut record that counts, and against more records than there are.
func TestMerge(t *testing.T) {
	parts := [][]byte{[]byte(record("b") + record("b") + "zzz"), []byte(record("b")), nil}
	qt.Assert(t, string(merger.Merge(parts, 2)), qt.Equals, record("b")+record("b"))
	qt.Assert(t, string(merger.Merge(parts, 9)), qt.Equals, record("b")+record("b")+record("b"))
	qt.Assert(t, merger.Merge(parts, 0), qt.HasLen, 0)
}
