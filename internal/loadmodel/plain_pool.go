package loadmodel

import (
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// PlainPool returns a scenario of a plain service with one target of six slots in each of three data
// centres, 5.4 ms apart, and 24 hosts in each, which know the hosts of other data centres as
// aggregates. Requests take 30 ms and have an objective of 200 ms.
func PlainPool(seed uint64) Scenario {
	return Scenario{
		Seed:                 seed,
		Length:               12 * time.Second,
		Hosts:                72,
		DataCentres:          3,
		DataCentreDelay:      5400 * time.Microsecond,
		PeerStateDelay:       2 * time.Millisecond,
		MinPeerStateInterval: 8 * time.Millisecond,
		FarPeerStateInterval: 100 * time.Millisecond,
		AggregateInterval:    120 * time.Millisecond,
		EngineSpeeds:         []float64{1, 1, 1},
		Slots:                6,
		Plain:                true,
		TokenTime:            time.Millisecond,
		Classes: []RequestClass{
			{
				Name: "once", PerSecond: 92, Priority: 3, Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond,
				Output: 30, OutputSpread: 0.3, Value: 1, LateValue: 0.3,
			},
			{
				Name: "repeatable", PerSecond: 37, Priority: 3, Retryable: true, Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond,
				Output: 30, OutputSpread: 0.3, Value: 1, LateValue: 0.3,
			},
		},
	}
}

// ShiftingPlainPool is PlainPool with a load that shifts from data centre to data centre: each in turn
// has a multiple of its usual load for 1.5 s.
func ShiftingPlainPool(seed uint64, factor float64) Scenario {
	s := PlainPool(seed)
	for i := range 6 {
		from := 2*time.Second + time.Duration(i)*1500*time.Millisecond
		s.Bursts = append(s.Bursts, Burst{
			From: from, To: from + 1500*time.Millisecond, Factor: factor, DataCentre: ident.DataCentre(strconv.Itoa(i % s.DataCentres)),
		})
	}
	return s
}
