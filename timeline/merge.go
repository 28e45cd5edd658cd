package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several hosts, sorted by hybrid logical timestamp,
// then by host and sequence. Duplicates are removed.
func Merge(rings ...[]Event) []Event {
	merged := slices.Concat(rings...)
	slices.SortFunc(merged, compare)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compare(a, b) == 0 })
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time.Wall, b.Time.Wall),
		cmp.Compare(a.Time.Logical, b.Time.Logical),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
