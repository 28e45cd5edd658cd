package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// TargetSpec describes one target. The cluster chooses its address.
type TargetSpec struct {
	settings.Target
	// Flags are passed to the stand-in.
	Flags []string
}

// EngineSpec returns the spec of an engine that does all that an engine can.
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
