package loadmodel

import (
	"slices"
	"time"
)

// FleetPool returns a scenario like one data centre of a fleet of hundreds of hosts:
// forty-nine hosts, each with few requests, and forty engines with five slots.
func FleetPool(seed uint64) Scenario {
	s := DraftingPool(seed)
	s.Length = 6 * time.Second
	s.Hosts = 49
	s.MinPeerStateInterval = 8 * time.Millisecond
	s.RelaxedPeerStateInterval = 26 * time.Millisecond
	s.FarPeerStateInterval = 205 * time.Millisecond
	s.EngineSpeeds = slices.Repeat(s.EngineSpeeds, 4)[:40]
	s.Slots = 5
	for i, perSecond := range []float64{138, 91, 47} {
		s.Classes[i].PerSecond = perSecond
	}
	return s
}
