package schedule

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
)

// State is the scheduling state that one host sends to the others, or the aggregate of
// the hosts of a data centre.
type State struct {
	// Loads holds the targets with running requests.
	Loads []TargetLoad
	// Observed says that Observations is included; otherwise the previous ones remain
	// valid.
	Observed     bool
	Observations []Observation
	// Demands is only sent at intervals; if nil, the previous values remain valid.
	Demands  []Demand
	Backlogs []Backlog
	// TeamLoads holds what teams use and want of pools whose capacity is scarce.
	TeamLoads []TeamLoad
	// Crashes holds the crashes of which something became known a short time ago.
	Crashes []quarantine.Crash
	// CutOff holds the pools of which the host reaches no target.
	CutOff []ident.Pool
	// Limits holds the targets that state limits, or did a short time ago.
	Limits []TargetLimit
	// Leaving says that the host is stopping and takes no requests from others.
	Leaving bool
	// BrittleTargets holds the targets that have said that they are brittle a short time ago.
	BrittleTargets []BrittleTarget
	// Responses holds when the host last got responses from the targets of each pool.
	Responses []PoolResponse
	// LeavingTargets holds the processes that have said that they are about to end.
	LeavingTargets []TargetProcess
	// MachineStates holds what targets have said of their machines a short time ago.
	MachineStates []MachineState
	// PrefixLocations holds the newest locations, oldest first.
	PrefixLocations []PrefixLocation
}
