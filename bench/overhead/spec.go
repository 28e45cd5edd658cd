package overhead

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	token      = "bench"
	model      = "bench"
	engineName = "engine-1"
	dataCentre = "dc1"
	// slots is far above what the rate needs, so that no call waits for one.
	slots    = 256
	maxQueue = 1000
)

// spec describes the cluster: one engine whose speed doesn't depend on its load.
func (o options) spec() testbed.Spec {
	spec := testbed.Spec{
		Tiers: []settings.Tier{{Name: "standard", DefaultDeadline: settings.Duration(30 * time.Second)}},
		Pools: []settings.Pool{{Name: "bench", Kind: settings.EnginePool, Model: model, MaxQueue: maxQueue}},
		Teams: []testbed.TeamSpec{{Name: "bench", Token: token, DefaultTier: "standard"}},
		Targets: []testbed.TargetSpec{testbed.EngineSpec(engineName, "bench", dataCentre, slots,
			"--decode-gap", o.decodeGap.String(), "--gap-growth=-1", "--prefill-rate=-1",
			"--max-batch", fmt.Sprint(slots))},
	}
	for i := range o.hosts {
		spec.Hosts = append(spec.Hosts, testbed.HostSpec{Name: ident.Host(fmt.Sprintf("h%d", i+1)), DataCentre: dataCentre})
	}
	return spec
}
