package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/ranker"
)

// Guards against leaves that change their owner although only an unrelated host was removed.
func TestOrderIsStableWhenANameGoes(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for i := range 100 {
		key := fmt.Sprint(i)
		order := ranker.Order(key, names)
		without := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == "c" })
		qt.Assert(t, ranker.Order(key, []string{"d", "b", "a"}), qt.DeepEquals, without)
	}
}

// Guards against a small cell that cannot grant leases after the loss of one host.
func TestSmallCellBorrowsGranters(t *testing.T) {
	cells := ranker.Cells([]ranker.Host{
		{Name: "a1", Center: "a", Region: "r"},
		{Name: "a2", Center: "a", Region: "r"},
		{Name: "b1", Center: "b", Region: "r"},
		{Name: "c1", Center: "c", Region: "other"},
	})
	qt.Assert(t, cells[0].Granters, qt.DeepEquals, []string{"a1", "a2", "b1"})
}

// Guards against cells larger than MaxCell, which bounds the cost of probes and leases.
func TestCellsAtTheDesignSize(t *testing.T) {
	var hosts []ranker.Host
	for i := range 450 {
		hosts = append(hosts, ranker.Host{Name: fmt.Sprintf("h%03d", i), Center: fmt.Sprint(i % 5), Region: "r"})
	}
	cells := ranker.Cells(hosts)
	qt.Assert(t, cells, qt.HasLen, 50)
	for _, c := range cells {
		qt.Assert(t, c.Hosts, qt.HasLen, ranker.MaxCell)
	}
}

func ExampleOrder() {
	fmt.Println(len(ranker.Order("desk-0-1", []string{"entry-1", "entry-2", "entry-3"})))
	// Output: 3
}
