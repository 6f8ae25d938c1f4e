package ranker

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxCell is the maximum number of hosts in a cell. It bounds the cost of probes and leases on each host.
	MaxCell = 9
	// Granters is the number of hosts of a cell that grant leases. A majority is 2.
	Granters = 3
)

// Host is an entry host with its location from the configuration.
type Host struct {
	Name   string
	Center string
	Region string
}

// Cell is a group of hosts in one data centre that monitor each other for failures and share the ownership of leaves.
type Cell struct {
	Name   string
	Center string
	// Hosts are the members, sorted by name.
	Hosts []string
	// Granters are the hosts that grant leases on the cell's leaves.
	Granters []string
}

// Cells divides the hosts of every data centre into cells of nearly equal size, with at most MaxCell hosts each.
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
		cells = append(cells, divideCenter(sorted[start:end], sorted)...)
		start = end
	}
	return cells
}

func divideCenter(center, all []Host) []Cell {
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

// granters returns the first hosts of the cell. A cell with fewer hosts than Granters adds hosts of other data centres
// in its region, so that the loss of one host does not stop its leases.
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

// Locate returns the cell of a leaf in a data centre. It reports false when the data centre has no cell.
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
