package soak

import "time"

// Options configures a run.
type Options struct {
	// Seed fixes the schedule of faults and the calls.
	Seed uint64
	// Duration is how long faults are injected. In an upgrade, it bounds how long that takes.
	Duration time.Duration
	// Hosts and Targets are the numbers of hosts and targets; they are split evenly
	// between the two data centres.
	Hosts   int
	Targets int
	// Versions is the number of software versions of the model's targets.
	Versions int
	// Callers is the number of callers, each with one call at a time.
	Callers int
	// Faults is the number of faults that are injected concurrently.
	Faults int
	// HostFaults is the number of host faults that are injected concurrently in addition.
	HostFaults int
	// Storms makes targets fail most of their runs for short periods, so that more retries
	// are wanted than allowed. StormCallers is the number of additional callers in them.
	Storms       bool
	StormCallers int
	// Former, if not empty, is a former commit. Hosts run its build at first and are upgraded to
	// this build under load; the seed selects how.
	Former string
}

func (o Options) withDefaults() Options {
	if o.Former != "" {
		o = o.withUpgradeDefaults()
	}
	o.Duration = orDefault(o.Duration, 15*time.Second)
	o.Hosts = orDefault(o.Hosts, 4)
	o.Targets = orDefault(o.Targets, 6)
	o.Versions = orDefault(o.Versions, 1)
	o.Callers = orDefault(o.Callers, 24)
	if o.Former == "" {
		o.Faults = orDefault(o.Faults, 2)
	}
	return o
}

// withUpgradeDefaults sets the defaults of a run with a former build. Without Faults, only the
// faults that belong to the upgrade are injected.
func (o Options) withUpgradeDefaults() Options {
	o.Duration = orDefault(o.Duration, maxUpgradeDuration)
	hosts := 6
	if upgradeKindOf(o.Seed) == upgradeTenths {
		hosts = 20
	}
	o.Hosts = orDefault(o.Hosts, hosts)
	o.Targets = orDefault(o.Targets, 12)
	o.Versions = orDefault(o.Versions, 2)
	return o
}

func orDefault[T comparable](value, otherwise T) T {
	var none T
	if value == none {
		return otherwise
	}
	return value
}
