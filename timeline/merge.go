package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of many hosts as one account: in the order of the
// hybrid logical clock, then by host and sequence. An event read twice appears
// once.
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
