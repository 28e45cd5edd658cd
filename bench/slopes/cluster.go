package slopes

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	dataCentre ident.DataCentre = "dc1"
	pool       ident.Pool       = "bench"
	model                       = "bench"
	team       ident.Team       = "bench"
	token                       = "bench"
	tier       ident.Tier       = "standard"
	// tierDeadline lets every request of a measurement wait as long as it likes.
	tierDeadline = 24 * time.Hour
	maxQueue     = 10_000

	startTries = 3
	startLimit = 30 * time.Second
)

// baseSpec describes a cluster of hosts in one data centre without targets.
func baseSpec(hosts int) testbed.Spec {
	spec := testbed.Spec{
		Tiers: []settings.Tier{{Name: tier, DefaultDeadline: settings.Duration(tierDeadline)}},
		Pools: []settings.Pool{{Name: pool, Kind: settings.EnginePool, Model: model, MaxQueue: maxQueue}},
		Teams: []testbed.TeamSpec{{Name: team, Token: token, DefaultTier: tier}},
	}
	for i := range hosts {
		spec.Hosts = append(spec.Hosts, testbed.HostSpec{Name: hostName(i), DataCentre: dataCentre})
	}
	return spec
}

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("host-%02d", i)) }

// withCluster runs f on a cluster after the settling time.
func withCluster(ctx context.Context, o options, spec testbed.Spec, f func(*testbed.Cluster) ([]Figure, error)) ([]Figure, error) {
	spec.Timing.Heartbeat = settings.Duration(o.heartbeat)
	cluster, err := start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	if err := standin.Sleep(ctx, o.settle); err != nil {
		return nil, err
	}
	return f(cluster)
}

// start starts a cluster. Another program of this machine may take one of its
// many addresses first; it is then started again.
func start(ctx context.Context, spec testbed.Spec) (*testbed.Cluster, error) {
	var failure error
	for range startTries {
		limited, cancel := context.WithTimeout(ctx, startLimit)
		cluster, err := testbed.Start(limited, spec)
		cancel()
		if err == nil {
			return cluster, nil
		}
		failure = err
		fmt.Fprint(os.Stderr, cluster.Logs())
		cluster.Stop()
	}
	return nil, failure
}

// roles returns the host that owns the pool and another one, which takes the
// calls.
func roles(c *testbed.Cluster) (entry, owner *testbed.Host) {
	view := &membership.View{}
	for _, h := range c.Hosts {
		view.Members = append(view.Members, membership.Member{
			Host: h.ID(), DataCentre: dataCentre, State: membership.Alive,
		})
	}
	name := view.Owner(dataCentre, pool)
	for _, h := range c.Hosts {
		if h.ID() == name {
			owner = h
		} else {
			entry = h
		}
	}
	return entry, owner
}
