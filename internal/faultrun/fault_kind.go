package faultrun

// FaultKind identifies a kind of fault in reports.
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
