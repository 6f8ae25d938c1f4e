package ranker

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxCell is the largest number of hosts in a cell. It bounds the cost of probes and leases on a host.
	MaxCell = 9
	// Granters is the number of hosts of a cell that grant leases; a majority of them is 2.
	Granters = 3
)

// Host is an entry host as the configuration places it.
type Host struct {
	Name   string
	Center string
	Region string
}

// Cell is a group of hosts of one data centre that detect each other's failures and share leaves.
type Cell struct {
	Name   string
	Center string
	// Hosts are the members, sorted by name.
	Hosts []string
	// Granters grant leases on the cell's leaves.
	Granters []string
}

// Cells divides the hosts of every data centre into cells of at most MaxCell hosts of nearly equal size.
func Cells(hosts []Host) []Cell {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Center, b.Center), cmp.Compare(a.Name, b.Name))
	})
	var cells []Cell
	for start := 0; start < len(sorted); {
		end := start
		for end < len(sorted) && sorted[end].Center == sorted[start].Center {
			end++
		}
		cells = append(cells, divide(sorted[start:end], sorted)...)
		start = end
	}
	return cells
}

func divide(center, all []Host) []Cell {
	count := (len(center) + MaxCell - 1) / MaxCell
	cells := make([]Cell, 0, count)
	for i := range count {
		part := center[i*len(center)/count : (i+1)*len(center)/count]
		cell := Cell{Name: fmt.Sprintf("%s/%d", part[0].Center, i), Center: part[0].Center}
		for _, h := range part {
			cell.Hosts = append(cell.Hosts, h.Name)
		}
		cell.Granters = granters(cell, part[0], all)
		cells = append(cells, cell)
	}
	return cells
}

// granters takes the first hosts of the cell; a smaller cell borrows hosts of other data centres of its region,
// so that the loss of one host does not stop its leases.
func granters(cell Cell, home Host, all []Host) []string {
	if len(cell.Hosts) >= Granters {
		return slices.Clone(cell.Hosts[:Granters])
	}
	out := slices.Clone(cell.Hosts)
	var others []string
	for _, h := range all {
		if h.Center != home.Center && h.Region == home.Region {
			others = append(others, h.Name)
		}
	}
	others = Order(cell.Name, others)
	return append(out, others[:min(len(others), Granters-len(out))]...)
}

// Locate returns the cell that a leaf of a data centre belongs to.
func Locate(leaf, center string, cells []Cell) (Cell, bool) {
	var names []string
	byName := make(map[string]Cell)
	for _, c := range cells {
		if c.Center == center {
			names = append(names, c.Name)
			byName[c.Name] = c
		}
	}
	if len(names) == 0 {
		return Cell{}, false
	}
	return byName[Order(leaf, names)[0]], true
}
