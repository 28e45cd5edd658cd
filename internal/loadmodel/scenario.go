package loadmodel

import (
	"slices"
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Scenario configures one simulation run.
type Scenario struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// HostsWithoutShares is how many of them don't know fair shares, like hosts of a former build.
	HostsWithoutShares int
	// DataCentres is the number of data centres that hosts and engines are distributed
	// over in turn; zero means one.
	DataCentres int
	// PeerStateDelay is the delay after which a host receives another host's state.
	PeerStateDelay time.Duration
	// MinPeerStateInterval is the shortest interval at which a host publishes its state.
	MinPeerStateInterval time.Duration
	// RelaxedPeerStateInterval replaces it while no request has waited lately at the host or at
	// those whose states it receives, if it is longer.
	RelaxedPeerStateInterval time.Duration
	// FarPeerStateInterval is the interval at which a host publishes its state to the hosts
	// of other cells. If it is zero, each data centre is one cell.
	FarPeerStateInterval time.Duration
	// AggregateInterval is the interval at which data centres exchange aggregate states.
	// If it is zero, hosts receive no state from other data centres.
	AggregateInterval time.Duration
	// EngineSpeeds holds one relative speed for each engine; an engine of speed 1 works
	// at PrefillRate and TokenTime.
	EngineSpeeds []float64
	Slots        int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenTime is the time per output token while the engine prefills no prompt.
	TokenTime time.Duration
	Classes   []RequestClass
	Bursts    []Burst
	// KVCacheTokens is the memory of an engine, which running requests and cached prefixes
	// share. If it is zero, engines cache nothing.
	KVCacheTokens int
	// HidesMemory leaves the memory out of the configuration of the hosts.
	HidesMemory bool
	// UncachedEngines is how many engines cache nothing although their memory is stated.
	UncachedEngines int
	// RestartedEngines is how many engines restart at RestartAt.
	RestartedEngines int
	RestartAt        time.Duration
	// FailedEngines is how many engines stop making progress at FailAt without rejecting
	// requests.
	FailedEngines int
	FailAt        time.Duration
	// LostEngines is how many engines crash at LoseAt: their requests fail, and they are no longer
	// announced.
	LostEngines int
	LoseAt      time.Duration
	// NoSharedClock says that hosts share no clock.
	NoSharedClock bool
	Policy        Policy
	// Plain makes the pool a plain service: a request takes the time of its output tokens, engines
	// report their load with each response, and a response is on time if its end is.
	Plain bool
	// ConstantDistances makes hosts use the constant costs of targets elsewhere.
	ConstantDistances bool
	// DataCentreDelay is the one-way delay of requests, responses and aggregate states between data
	// centres.
	DataCentreDelay time.Duration
}

// sharesAt reports whether the host with index i applies fair shares.
func (s *Scenario) sharesAt(i int) bool { return i >= s.HostsWithoutShares && s.hasTeams() }

// hasTeams reports whether any class of requests belongs to a team.
func (s *Scenario) hasTeams() bool {
	return slices.ContainsFunc(s.Classes, func(c RequestClass) bool { return c.Team != "" })
}

// sharedClock returns the clock that all hosts share, or nil.
func (s *Scenario) sharedClock() func(time.Time) int64 {
	if s.NoSharedClock {
		return nil
	}
	return time.Time.UnixMilli
}

func (s *Scenario) dataCentres() int { return max(s.DataCentres, 1) }

// dataCentreOf returns the data centre of the host or engine with index i.
func (s *Scenario) dataCentreOf(i int) ident.DataCentre {
	return ident.DataCentre(strconv.Itoa(i % s.dataCentres()))
}
