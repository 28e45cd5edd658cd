package slopes

import (
	"context"
	"fmt"
	"slices"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// hostsSeries varies the number of idle hosts in one data centre, which only maintain
// membership.
func hostsSeries() series {
	return series{
		name: "hosts", varied: "hosts in one data centre",
		values: func(o options) []float64 {
			return slices.DeleteFunc([]float64{2, 5, 10, 20, 40}, func(x float64) bool { return int(x) > o.maxHosts })
		},
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return measureIdle(ctx, o, baseSpec(int(x)))
		},
	}
}

// dataCentresSeries varies the number of data centres of a fixed number of idle hosts.
func dataCentresSeries() series {
	const hosts = 36
	return series{
		name: "data-centres", varied: fmt.Sprintf("data centres that %d hosts are spread over", hosts),
		values: fixedValues(1, 3, 9),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			spec := baseSpec(min(hosts, o.maxHosts))
			for i := range spec.Hosts {
				spec.Hosts[i].DataCentre = ident.DataCentre(fmt.Sprintf("dc%d", i%int(x)+1))
			}
			return measureIdle(ctx, o, spec)
		},
	}
}

// teamsSeries varies the number of declared teams.
func teamsSeries() series {
	return series{
		name: "teams", varied: "declared teams",
		values: fixedValues(10, 500, 1500, 4400),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return measureIdle(ctx, o, teamsSpec(int(x)))
		},
	}
}

func teamsSpec(teams int) testbed.Spec {
	spec := baseSpec(2)
	for i := 1; i < teams; i++ {
		name := fmt.Sprintf("team-%04d", i)
		spec.Teams = append(spec.Teams, testbed.TeamSpec{
			Name: ident.Team(name), Token: name, AdminToken: name + "-admin", DefaultTier: tier,
		})
	}
	return spec
}

// measureIdle measures a cluster without calls.
func measureIdle(ctx context.Context, o options, spec testbed.Spec) ([]Figure, error) {
	return withCluster(ctx, o, spec, func(c *testbed.Cluster) ([]Figure, error) {
		return observeIdle(ctx, o, c)
	})
}

func observeIdle(ctx context.Context, o options, c *testbed.Cluster) ([]Figure, error) {
	w, err := observeWithPlatform(ctx, o, c)
	if err != nil {
		return nil, err
	}
	m := meanUsage(w.uses)
	hosts := float64(len(c.Hosts))
	return append(
		m.figures("host"),
		Figure{Name: "sessions", Unit: "1", Value: m.last["cornelyard_peer_sessions"]},
		Figure{Name: "platform reads", Unit: "1/s", Value: w.reads / hosts},
		Figure{Name: "platform writes", Unit: "1/s", Value: w.writes / hosts},
	), nil
}
