package cell

import (
	"fmt"
	"testing"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("host-%d", i)
	}
	return list
}

func TestCellsDifferByAtMostOneName(t *testing.T) {
	for _, n := range []int{1, 7, 8, 49, 320} {
		count := Count(n)
		sizes := make(map[int]int)
		for _, c := range Divide(names(n), count) {
			sizes[c]++
		}
		if len(sizes) != count {
			t.Errorf("%d names: %d cells, want %d", n, len(sizes), count)
		}
		for c, size := range sizes {
			if size < n/count || size > n/count+1 {
				t.Errorf("%d names: cell %d has %d of them, want %d or one more", n, c, size, n/count)
			}
		}
	}
}

func TestDivisionDoesNotDependOnOrder(t *testing.T) {
	forward := names(20)
	backward := make([]string, len(forward))
	for i, name := range forward {
		backward[len(forward)-1-i] = name
	}
	want := Divide(forward, 3)
	for name, got := range Divide(backward, 3) {
		if got != want[name] {
			t.Errorf("%s is in cell %d or %d", name, got, want[name])
		}
	}
}

func TestOneHostMoreMovesFewOthers(t *testing.T) {
	before, after := Divide(names(48), 6), Divide(names(49), 6)
	moved := 0
	for name, c := range before {
		if after[name] != c {
			moved++
		}
	}
	if moved > 6 {
		t.Errorf("%d of 48 names moved, want at most one for each cell", moved)
	}
}
