package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/schedule"
)

func encodeMachineStates(now time.Time, states []schedule.MachineState) []*hostpb.MachineState {
	var encoded []*hostpb.MachineState
	for _, m := range states {
		encoded = append(encoded, &hostpb.MachineState{
			Target:      hashName(m.Target),
			StartUnixMs: m.StartUnixMs,
			Percent:     clampUint32(m.Percent),
			AgeMs:       clampUint32(int(now.Sub(m.At).Milliseconds())),
		})
	}
	return encoded
}

// machineDecoder returns a function that converts states of machines received at a time. The
// scheduler ignores those with an invalid percentage.
func machineDecoder(now time.Time) func(ident.Target, *hostpb.MachineState) schedule.MachineState {
	return func(target ident.Target, m *hostpb.MachineState) schedule.MachineState {
		return schedule.MachineState{
			TargetProcess: schedule.TargetProcess{Target: target, StartUnixMs: m.GetStartUnixMs()},
			Percent:       min(int(m.GetPercent()), schedule.MaxMachinePercent),
			At:            now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
	}
}
