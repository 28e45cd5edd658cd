package testbed

import (
	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
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

// HostSpec describes one host.
type HostSpec struct {
	Name       ident.Host
	DataCentre ident.DataCentre
}

// TargetSpec describes one target. The cluster chooses its address.
type TargetSpec struct {
	settings.Target
	// Flags are passed to the stand-in.
	Flags []string
}

// TeamSpec describes one team with one token of each kind.
type TeamSpec struct {
	Name        ident.Team
	Token       string
	AdminToken  string
	DefaultTier ident.Tier
}

// Engine returns the spec of an engine that does all that an engine can.
func Engine(name ident.Target, pool ident.Pool, dc ident.DataCentre, slots int, flags ...string) TargetSpec {
	return TargetSpec{
		Target: settings.Target{
			Name: name, Pool: pool, DataCentre: dc, Slots: slots,
			EchoesID: true, Resumes: true, ReportsLoad: true,
		},
		Flags: flags,
	}
}

// Service returns the spec of a plain service.
func Service(name ident.Target, pool ident.Pool, dc ident.DataCentre, slots int, flags ...string) TargetSpec {
	return TargetSpec{
		Target: settings.Target{Name: name, Pool: pool, DataCentre: dc, Slots: slots, EchoesID: true},
		Flags:  flags,
	}
}

func (t TeamSpec) declaration() settings.Team {
	team := settings.Team{
		Name:              t.Name,
		CallerTokenHashes: []string{settings.TokenHash(t.Token)},
		DefaultTier:       t.DefaultTier,
	}
	if t.AdminToken != "" {
		team.AdminTokenHashes = []string{settings.TokenHash(t.AdminToken)}
	}
	return team
}
