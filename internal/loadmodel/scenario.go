package loadmodel

import (
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Scenario describes one run.
type Scenario struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// DataCentres is the number of data centres over which hosts and engines are
	// spread; zero means one.
	DataCentres int
	// PeerStateDelay is how old another host's state is when it is acted on.
	PeerStateDelay time.Duration
	// MinPeerStateInterval is the least time between two states that a host tells.
	MinPeerStateInterval time.Duration
	// AggregateInterval is the time between two sums that the data centres send each other. If it
	// is zero, hosts know nothing of those in other data centres.
	AggregateInterval time.Duration
	// EngineSpeeds holds an engine each; 1 computes prompts and tokens at the rates
	// below.
	EngineSpeeds []float64
	Slots        int
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// TokenTime is the time for one token of an engine without prompts.
	TokenTime time.Duration
	Classes   []RequestClass
	Bursts    []Burst
	// FailedEngines engines accept and finish no request from FailAt on.
	FailedEngines int
	FailAt        time.Duration
	// Policy is how requests are placed.
	Policy Policy
}

// Policy is how requests are placed.
type Policy int

const (
	// Scheduled uses package schedule on every host.
	Scheduled Policy = iota
	// LeastLocalRequests is the baseline: each host sends a request at once to the engine
	// where it has the fewest itself, and the engine queues it.
	LeastLocalRequests
)

func (s *Scenario) dataCentres() int { return max(s.DataCentres, 1) }

// dataCentreOf returns where the host or engine with this number is.
func (s *Scenario) dataCentreOf(i int) ident.DataCentre {
	return ident.DataCentre(strconv.Itoa(i % s.dataCentres()))
}
