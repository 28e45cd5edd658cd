package schedule

import "github.com/cornelyard/cornelyard/ident"

// Demand is what arrives at one host, or at the hosts of a data centre, at one rank of
// a pool.
type Demand struct {
	Pool ident.Pool
	Rank Rank
	// ArrivalRate is the arrivals a second, and Slots the slots that they take up on average.
	ArrivalRate float64
	MeanSlots   float64
}

// peerDemand is the sum of what arrives at the other hosts at one rank of a pool.
type peerDemand struct {
	rate  float64
	slots float64
}

func (o *peerDemand) add(d *Demand, sign sign) {
	o.rate += float64(sign) * d.ArrivalRate
	o.slots += float64(sign) * d.MeanSlots
}
