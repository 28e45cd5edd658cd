package soak

import (
	"slices"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// arrival is a request that reached a target, run or rejected.
type arrival struct {
	platformtest.Arrival
	target *target
}

// arrivals returns, by request ID, the arrivals at all targets in their order.
func (s *system) arrivals() map[string][]arrival {
	all := make(map[string][]arrival)
	for _, t := range s.targets {
		for _, a := range t.fake.Arrivals() {
			all[a.RequestID] = append(all[a.RequestID], arrival{Arrival: a, target: t})
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	return all
}
