package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hostsPerCell is the number of hosts in a cell, on average.
const hostsPerCell = 8

// Count returns the number of cells for a number of hosts, at least one.
func Count(hosts int) int { return max(1, (hosts+hostsPerCell/2)/hostsPerCell) }

// Divide returns the cell of each name, from 0 to count-1. Cells differ by at most one name
// in size, and names that resemble each other, as those of one rack may, are spread.
func Divide[T ~string](names []T, count int) map[T]int {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, compareByHash[T])
	cells := make(map[T]int, len(ordered))
	for i, name := range ordered {
		cells[name] = i * count / len(ordered)
	}
	return cells
}

func compareByHash[T ~string](a, b T) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}
