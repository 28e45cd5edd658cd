package testbed

import (
	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/settings"
)

// Spec configures a cluster.
type Spec struct {
	Hosts   []HostSpec
	Tiers   []settings.Tier
	Pools   []settings.Pool
	Targets []TargetSpec
	Teams   []TeamSpec
	// Proxied puts a fault proxy on every link between hosts and from hosts to the
	// platform and the targets.
	Proxied bool
	// Timing and Limits are written to each host's settings file.
	Timing config.Timing
	Limits config.Limits
	// PlatformFlags are command-line flags of the stand-in platform.
	PlatformFlags []string
}
