package loadmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Burst multiplies the arrival rate from From until To, at the hosts of one data centre if one is
// named.
type Burst struct {
	From   time.Duration
	To     time.Duration
	Factor float64
	// DataCentre is empty if the burst is at all hosts.
	DataCentre ident.DataCentre
}

// arrivalFactors returns by how much bursts multiply the arrivals at the hosts of each data centre
// now, and the mean over the data centres.
func (m *model) arrivalFactors() (factors []float64, mean float64) {
	factors = make([]float64, m.scenario.dataCentres())
	for i := range factors {
		factors[i] = 1
		for _, b := range m.scenario.Bursts {
			if m.now >= b.From && m.now < b.To && (b.DataCentre == "" || b.DataCentre == m.scenario.dataCentreOf(i)) {
				factors[i] *= b.Factor
			}
		}
		mean += factors[i] / float64(len(factors))
	}
	return factors, mean
}

// drawHost draws the host at which a request arrives. Hosts are distributed over the data centres in
// turn.
func (m *model) drawHost(factors []float64, random *rand.Rand) int {
	for {
		host := random.IntN(len(m.hosts))
		factor := factors[host%len(factors)]
		if largest := slices.Max(factors); factor == largest || random.Float64()*largest < factor {
			return host
		}
	}
}
