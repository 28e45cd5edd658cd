package loadmodel

import (
	"slices"
	"time"
)

// CrowdedPool returns a scenario of 89 hosts in four data centres, divided into cells, and 90
// engines of unlike speed with six slots. From 2 s to 6 s the load is three times as high, and a
// fifth of the engines is lost at 3 s. No requests arrive after 8 s, so that each one ends.
func CrowdedPool(seed uint64) Scenario {
	s := DraftingPool(seed)
	s.Length = 8*time.Second + s.Classes[len(s.Classes)-1].Deadline
	s.Hosts = 89
	s.DataCentres = 4
	s.MinPeerStateInterval = 12 * time.Millisecond
	s.RelaxedPeerStateInterval = 24 * time.Millisecond
	s.FarPeerStateInterval = 110 * time.Millisecond
	s.AggregateInterval = 120 * time.Millisecond
	s.EngineSpeeds = slices.Repeat(s.EngineSpeeds, 8)[:90]
	s.Slots = 6
	for i, perSecond := range []float64{186, 124, 110} {
		s.Classes[i].PerSecond = perSecond
	}
	s.Bursts = []Burst{{From: 2 * time.Second, To: 6 * time.Second, Factor: 3}, {From: 8 * time.Second, To: time.Hour}}
	s.LostEngines, s.LoseAt = 18, 3*time.Second
	return s
}
