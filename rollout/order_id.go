package rollout

import "cmp"

// OrderID identifies an order. Later orders have larger IDs.
type OrderID struct {
	// Era is the era of the store in which the order was read: it rises when the store
	// returns from an older copy of itself, and Row starts again below earlier values.
	Era uint64
	// Row is the version of the order's row in the store.
	Row uint64
}

// Compare returns a negative number if id is earlier than other.
func (id OrderID) Compare(other OrderID) int {
	return cmp.Or(cmp.Compare(id.Era, other.Era), cmp.Compare(id.Row, other.Row))
}
