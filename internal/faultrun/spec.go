package faultrun

import (
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	model    = "drafting"
	desk     = ident.Pool("desk")
	filing   = "/file"
	high     = ident.Tier("high")
	low      = ident.Tier("low")
	team     = ident.Team("shops")
	token    = "shop-token"
	admin    = "shop-admin"
	deadline = 15 * time.Second

	first  = ident.DataCentre("first")
	second = ident.DataCentre("second")
)

// spec describes five hosts in two data centres with engines and services.
func spec() testbed.Spec {
	return testbed.Spec{
		Proxied: true,
		Hosts: []testbed.HostSpec{
			{Name: "first-1", DataCentre: first},
			{Name: "first-2", DataCentre: first},
			{Name: "first-3", DataCentre: first},
			{Name: "second-1", DataCentre: second},
			{Name: "second-2", DataCentre: second},
		},
		Tiers: []settings.Tier{
			{Name: high, Rank: 0, DefaultDeadline: settings.Duration(deadline)},
			{Name: low, Rank: 1, DefaultDeadline: settings.Duration(deadline)},
		},
		Pools: []settings.Pool{
			{Name: model, Kind: settings.EnginePool, Model: model, MaxQueue: 10},
			{Name: desk, Kind: settings.ServicePool, MaxQueue: 100, NonIdempotentPaths: []string{filing}},
		},
		Targets: []testbed.TargetSpec{
			testbed.EngineSpec("first-e1", model, first, 3, "--decode-gap=5ms"),
			testbed.EngineSpec("first-e2", model, first, 3, "--decode-gap=15ms"),
			testbed.EngineSpec("second-e1", model, second, 3, "--decode-gap=5ms"),
			testbed.ServiceSpec("first-s1", desk, first, 8),
			testbed.ServiceSpec("second-s1", desk, second, 8),
		},
		Teams: []testbed.TeamSpec{{Name: team, Token: token, AdminToken: admin, DefaultTier: low}},
		Timing: config.Timing{
			Heartbeat:      settings.Duration(100 * time.Millisecond),
			SuspectAfter:   settings.Duration(500 * time.Millisecond),
			DeadAfter:      settings.Duration(time.Second),
			ReadinessDelay: settings.Duration(200 * time.Millisecond),
		},
		Limits: config.Limits{TimelineEvents: 400_000},
	}
}
