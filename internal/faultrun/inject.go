package faultrun

import (
	"time"

	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
)

// inject injects a fault, holds it for its duration and clears it.
func (i *injector) inject(f fault) error {
	c := i.cluster
	switch f.kind {
	case KillHost:
		return i.killAndRestartHost(f)
	case SuspendHost:
		return i.injectFor(f, f.host.Suspend, f.host.Resume)
	case StopHost:
		return i.stopAndRestartHost(f)
	case PartitionHosts:
		return i.injectPeerFault(f, faultproxy.Faults{Cut: true})
	case PartitionHostsOneWay:
		return i.injectPeerFault(f, faultproxy.Faults{CutToTarget: true})
	case PartitionDataCentres:
		return i.injectFor(f,
			func() error { return c.SetDataCentreFaults(first, second, faultproxy.Faults{Cut: true}) },
			func() error { return c.SetDataCentreFaults(first, second, faultproxy.Faults{}) })
	case ResetHostConnections:
		return c.ResetPeers(f.host.ID(), f.other.ID())
	case PlatformOutage:
		return i.injectPlatformFault(f, standinplatform.Faults{Outage: true})
	case SlowPlatform:
		return i.injectPlatformFault(f, standinplatform.Faults{DelayMs: platformDelayMs})
	case LostPlatformReplies:
		return i.injectPlatformFault(f, standinplatform.Faults{LostConfirmations: -1})
	case PartitionPlatform:
		return i.injectFor(f,
			func() error { return c.SetPlatformFaults(f.host.ID(), faultproxy.Faults{Cut: true}) },
			func() error { return c.SetPlatformFaults(f.host.ID(), faultproxy.Faults{}) })
	case ResetTargetConnections:
		return c.ResetTarget("", f.targetName)
	case RefuseTargetConnections:
		return i.injectFor(f,
			func() error { return c.SetTargetFaults("", f.targetName, faultproxy.Faults{Refuse: true}) },
			func() error { return c.SetTargetFaults("", f.targetName, faultproxy.Faults{}) })
	case CloseReusedConnections:
		return i.injectEngineFault(f, engine.Faults{RequestFaults: engine.RequestFaults{CloseReused: true}})
	case SlowEngine:
		return i.injectEngineFault(f, engine.Faults{SlowFactor: slowFactor})
	case KillEngine:
		return i.killAndRestartEngine(f)
	case TargetLeaves:
		return i.markTargetLeaving(f)
	default:
		return Error.New("no such fault: %s", f.kind)
	}
}

// injectFor calls begin, and end after the fault's duration.
func (i *injector) injectFor(f fault, begin, end func() error) error {
	if err := begin(); err != nil {
		return err
	}
	time.Sleep(f.duration)
	return end()
}

func (i *injector) injectPeerFault(f fault, faults faultproxy.Faults) error {
	return i.injectFor(f,
		func() error { return i.cluster.SetPeerFaults(f.host.ID(), f.other.ID(), faults) },
		func() error { return i.cluster.SetPeerFaults(f.host.ID(), f.other.ID(), faultproxy.Faults{}) })
}

func (i *injector) injectPlatformFault(f fault, faults standinplatform.Faults) error {
	return i.injectFor(f,
		func() error { return i.cluster.Platform.SetFaults(faults) },
		func() error { return i.cluster.Platform.SetFaults(standinplatform.Faults{}) })
}

func (i *injector) injectEngineFault(f fault, faults engine.Faults) error {
	return i.injectFor(f,
		func() error { return f.target.SetEngineFaults(faults) },
		func() error { return f.target.SetEngineFaults(engine.Faults{}) })
}
