package faultrun

import (
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	KillHost                FaultKind = "kill-host"
	SuspendHost             FaultKind = "freeze-host"
	StopHost                FaultKind = "stop-host"
	PartitionHosts          FaultKind = "cut-hosts"
	PartitionHostsOneWay    FaultKind = "cut-one-way"
	PartitionDataCentres    FaultKind = "cut-data-centres"
	ResetHostConnections    FaultKind = "reset-hosts"
	PlatformOutage          FaultKind = "platform-outage"
	SlowPlatform            FaultKind = "platform-slow"
	LostPlatformReplies     FaultKind = "lost-confirmations"
	PartitionPlatform       FaultKind = "cut-platform"
	ResetTargetConnections  FaultKind = "reset-target"
	RefuseTargetConnections FaultKind = "refuse-target"
	CloseReusedConnections  FaultKind = "close-reused"
	SlowEngine              FaultKind = "slow-engine"
	KillEngine              FaultKind = "kill-engine"
	TargetLeaves            FaultKind = "target-leaves"
)

var faultKinds = []FaultKind{
	KillHost, SuspendHost, StopHost, PartitionHosts, PartitionHostsOneWay, PartitionDataCentres, ResetHostConnections,
	PlatformOutage, SlowPlatform, LostPlatformReplies, PartitionPlatform,
	ResetTargetConnections, RefuseTargetConnections, CloseReusedConnections, SlowEngine, KillEngine, TargetLeaves,
}

const (
	minFault = 500 * time.Millisecond
	maxFault = 3 * time.Second
)

// fault is one fault of the schedule. What it strikes is chosen in advance.
type fault struct {
	kind   FaultKind
	host   *testbed.Host
	other  *testbed.Host
	target *testbed.Target
	name   ident.Target
	length time.Duration
}

// nextFault chooses the next fault of a schedule.
func nextFault(random *rand.Rand, cluster *testbed.Cluster) fault {
	engines := []ident.Target{"first-e1", "first-e2", "second-e1"}
	i := random.IntN(len(cluster.Hosts))
	j := (i + 1 + random.IntN(len(cluster.Hosts)-1)) % len(cluster.Hosts)
	name := engines[random.IntN(len(engines))]
	return fault{
		kind:   faultKinds[random.IntN(len(faultKinds))],
		host:   cluster.Hosts[i],
		other:  cluster.Hosts[j],
		target: cluster.Targets[name],
		name:   name,
		length: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))),
	}
}
