package schedule

import "github.com/cornelyard/cornelyard/ident"

// Demand is the demand at one rank of a pool, as seen by one host or by all hosts of a
// data centre.
type Demand struct {
	Pool ident.Pool
	Rank Rank
	// ArrivalRate is the arrivals per second, and MeanSlots the average number of slots
	// that they occupy.
	ArrivalRate float64
	MeanSlots   float64
}

// peerDemand is the total demand at the other hosts at one rank of a pool.
type peerDemand struct {
	rate  float64
	slots float64
}

func (o *peerDemand) add(d *Demand, sign sign) {
	o.rate += float64(sign) * d.ArrivalRate
	o.slots += float64(sign) * d.MeanSlots
}
