package policy

import (
	"fmt"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

// shape is a deployment scaled down to one machine.
type shape struct {
	dataCentres int
	hosts       int
	pools       []poolShape
}

// shapes holds the deployments by name.
var shapes = map[string]shape{
	"lankadhara": {dataCentres: 4, hosts: 7, pools: []poolShape{{"drafting", 3}, {"returns", 1}}},
	"dakar":      {dataCentres: 3, hosts: 6, pools: []poolShape{{"rota", 6}, {"application", 1}}},
}

const (
	slots = 8
	// maxQueue is far above what any policy queues within the deadlines, so that calls are
	// not refused for a full queue.
	maxQueue = 5000
	// baseGapMs and basePrefillRate are the time between tokens and the prefill rate of an
	// engine of speed 1.
	baseGapMs       = 20.0
	basePrefillRate = 2500.0 // tokens per second
	gapGrowth       = 0.1
)

// speeds are the relative speeds of the kinds of engines.
var speeds = []float64{1, 2, 4}

// engines returns the engines of all pools. A pool with a single engine per data centre
// has engines of the fastest kind.
func (s shape) engines() []engineSpec {
	var all []engineSpec
	for dc := range s.dataCentres {
		for _, pool := range s.pools {
			for i := range pool.engines {
				index := i
				if pool.engines == 1 {
					index = len(speeds) - 1
				}
				all = append(all, engineSpec{
					name:       ident.Target(fmt.Sprintf("%s-%d-%d", pool.name, dc+1, i+1)),
					pool:       pool.name,
					dataCentre: dataCentre(dc),
					speed:      speeds[index%len(speeds)],
				})
			}
		}
	}
	return all
}

func dataCentre(index int) ident.DataCentre {
	return ident.DataCentre(fmt.Sprintf("dc%d", index+1))
}

// spec describes the cluster with the given policy and without the absent engine.
func (s shape) spec(policy settings.Policy, absent ident.Target) testbed.Spec {
	spec := testbed.Spec{Tiers: tiers}
	for _, pool := range s.pools {
		spec.Pools = append(spec.Pools, settings.Pool{
			Name: pool.name, Kind: settings.EnginePool, Model: string(pool.name), Policy: policy, MaxQueue: maxQueue,
		})
	}
	for _, team := range teams {
		spec.Teams = append(spec.Teams, testbed.TeamSpec{
			Name: team.name, Token: string(team.name), DefaultTier: tiers[0].Name,
		})
	}
	for _, engine := range s.engines() {
		if engine.name != absent {
			spec.Targets = append(spec.Targets, engine.target())
		}
	}
	for i := range s.hosts {
		spec.Hosts = append(spec.Hosts, testbed.HostSpec{
			Name:       ident.Host(fmt.Sprintf("host-%d", i+1)),
			DataCentre: dataCentre(i % s.dataCentres),
		})
	}
	return spec
}
