package rollout

// Newer reports whether p replaces other. It is a strict total order of all progress of a pool.
func (p Progress) Newer(other Progress) bool {
	return p.Order.Compare(other.Order) > 0
}
