package routing

import "container/list"

// targetPrefixes is the part of the index for one target.
type targetPrefixes struct {
	lru     *list.List
	entries map[uint64]*list.Element
	// tokens is the result of the match with this generation.
	generation uint64
	tokens     int
}
