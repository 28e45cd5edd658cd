package loadmodel

import (
	"slices"
	"time"
)

// Drafting returns a setup like the drafting pool of Lankadhara: twelve engines, a
// third of them nearly three times as fast as the others, before six hosts.
func DraftingPool(seed uint64) Scenario {
	fast, slow := 1/0.6, 1/1.7
	speeds := []float64{fast, slow, slow, fast, slow, slow, fast, slow, slow, fast, slow, slow}
	return Scenario{
		Seed:           seed,
		Length:         30 * time.Second,
		Hosts:          6,
		PeerStateDelay: 2 * time.Millisecond,
		EngineSpeeds:   speeds,
		Slots:          7,
		PrefillRate:    50_000,
		TokenTime:      6 * time.Millisecond,
		Classes: []RequestClass{
			{
				Name: "draft", PerSecond: 33.6, Priority: 0,
				Objective: 600 * time.Millisecond, Deadline: 6 * time.Second,
				Prompt: 2950, PromptSpread: 1, Output: 51, OutputSpread: 1.2, Value: 5.3, LateValue: 0.53,
			},
			{
				Name: "check", PerSecond: 22.6, Priority: 1, Retryable: true,
				Objective: 400 * time.Millisecond, Deadline: 4 * time.Second,
				Prompt: 1860, PromptSpread: 1, Output: 23, OutputSpread: 1.2, Value: 1.7, LateValue: 0.17,
			},
			{
				Name: "explain", PerSecond: 19.8, Priority: 2,
				Objective: 300 * time.Millisecond, Deadline: 15 * time.Second,
				Prompt: 603, PromptSpread: 0.9, Output: 280, OutputSpread: 1.2, Value: 0.52, LateValue: 0.052,
			},
		},
	}
}

// DraftingGrown returns the same pool once grown: sixty engines before sixty hosts in
// four data centres, with half as much again to do for each engine.
func LargeDraftingPool(seed uint64) Scenario {
	s := DraftingPool(seed)
	s.Length = 20 * time.Second
	s.Hosts = 60
	s.DataCentres = 4
	s.MinPeerStateInterval = 15 * time.Millisecond
	s.AggregateInterval = 50 * time.Millisecond
	s.EngineSpeeds = slices.Repeat(s.EngineSpeeds, 5)
	for i, perSecond := range []float64{218, 147, 129} {
		s.Classes[i].PerSecond = perSecond
	}
	return s
}
