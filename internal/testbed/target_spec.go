package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// TargetSpec configures a target. The cluster assigns its address.
type TargetSpec struct {
	settings.Target
	// Flags are command-line flags of the stand-in.
	Flags []string
}

// EngineSpec returns the spec of an engine that supports all optional features of the
// target protocol.
func EngineSpec(name ident.Target, pool ident.Pool, dc ident.DataCentre, slots int, flags ...string) TargetSpec {
	return TargetSpec{
		Target: settings.Target{
			Name: name, Pool: pool, DataCentre: dc, Slots: slots,
			EchoesID: true, Resumes: true, ReportsLoad: true,
		},
		Flags: flags,
	}
}

// ServiceSpec returns the spec of a plain service.
func ServiceSpec(name ident.Target, pool ident.Pool, dc ident.DataCentre, slots int, flags ...string) TargetSpec {
	return TargetSpec{
		Target: settings.Target{Name: name, Pool: pool, DataCentre: dc, Slots: slots, EchoesID: true},
		Flags:  flags,
	}
}
