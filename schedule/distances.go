package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Distance is what this host measured of another data centre.
type Distance struct {
	DataCentre ident.DataCentre
	// Excess is by how much its responses take longer than local ones. It is valid if Measured is set;
	// otherwise a constant applies.
	Excess   time.Duration
	Measured bool
	// StateAge is the mean age of what is known of the load that its hosts put on targets.
	StateAge time.Duration
}

// Distances returns what is known of the other data centres that have targets, in the order of the pools.
func (s *Scheduler) Distances(now time.Time) []Distance {
	var list []Distance
	listed := map[ident.DataCentre]bool{s.dataCentre: true}
	for _, p := range s.poolOrder {
		for _, t := range p.targets {
			if dc := t.DataCentre; !listed[dc] {
				listed[dc] = true
				excess, measured := s.distance(now, dc)
				list = append(list, Distance{DataCentre: dc, Excess: excess, Measured: measured, StateAge: s.stateAge(now, dc, excess)})
			}
		}
	}
	return list
}
