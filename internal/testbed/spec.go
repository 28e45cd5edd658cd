package testbed

import (
	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/settings"
)

// Spec describes a cluster.
type Spec struct {
	Hosts   []HostSpec
	Tiers   []settings.Tier
	Pools   []settings.Pool
	Targets []TargetSpec
	Teams   []TeamSpec
	// Proxied puts the fault proxy on every link: from hosts to hosts, to the
	// platform and to the targets.
	Proxied bool
	// Timing and Limits go to each host's settings file.
	Timing config.Timing
	Limits config.Limits
	// PlatformFlags are passed to the platform's stand-in.
	PlatformFlags []string
}
