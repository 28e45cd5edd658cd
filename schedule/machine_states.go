package schedule

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// RecordMachineState records what a target has said of its machine with a response, in percent
// of the usual time of work. It ignores figures that are not valid, and those of an earlier
// process. RecordMachineState reports whether other hosts should know it at once.
func (s *Scheduler) RecordMachineState(now time.Time, from route.Target, percent int) (changed bool) {
	t := s.processOf(from)
	statement := MachineState{Percent: percent, At: now}
	if t == nil || !statement.valid() {
		return false
	}
	if !t.ownMachine.stated() {
		s.machineEvents = append(s.machineEvents, MachineEvent{Target: t.Name, Pool: t.Pool, Percent: percent})
	}
	expected := t.machine.expected(now)
	t.ownMachine = newMachineState(percent, now)
	t.setMachineState(t.ownMachine)
	return math.Abs(t.machine.factor-expected) >= machineChangeRatio*expected
}

// setMachineState applies a statement if it is newer than the known one.
func (t *target) setMachineState(m machineState) {
	if m.unusual() && m.at.After(t.machineUnusualAt) {
		t.machineUnusualAt = m.at
	}
	if m.at.After(t.machine.at) {
		t.machine = m
	}
}

// forgetMachine removes what an earlier process of the target said of its machine.
func (t *target) forgetMachine() {
	t.machine, t.ownMachine, t.machineUnusualAt = machineState{}, machineState{}, time.Time{}
	t.prefillEvidence, t.intervalEvidence = speedEvidence{}, speedEvidence{}
}

// applyMachineStates records what another host received from targets.
func (s *Scheduler) applyMachineStates(now time.Time, reported []MachineState) {
	for i := range reported {
		m := &reported[i]
		t := s.targets[m.Target]
		if t == nil || t.StartUnixMs != m.StartUnixMs || !m.valid() || now.Sub(m.At) >= machineStateTTL {
			continue
		}
		at := m.At
		if at.After(now) {
			at = now
		}
		t.setMachineState(newMachineState(m.Percent, at))
	}
}

// machineStates returns what this host itself received from targets within machineStateTTL: at
// most one statement of each target. A usual state is left out unless other hosts may still
// know an unusual one.
func (s *Scheduler) machineStates(now time.Time) []MachineState {
	var list []MachineState
	for _, t := range s.targets {
		own := t.ownMachine
		if own.certainty(now) == 0 || now.Sub(t.machineUnusualAt) >= machineStateTTL {
			continue
		}
		list = append(list, MachineState{
			TargetProcess: TargetProcess{Target: t.Name, StartUnixMs: t.StartUnixMs},
			Percent:       int(math.Round(own.factor * usualPercent)),
			At:            own.at,
		})
	}
	return list
}

// directMachineStates adds what the direct peers received to what this host did.
func (s *Scheduler) directMachineStates(now time.Time) []MachineState {
	newest := make(map[ident.Target]MachineState)
	for _, m := range s.machineStates(now) {
		newest[m.Target] = m
	}
	for _, peer := range s.peers {
		for _, m := range peer.state.MachineStates {
			known, ok := newest[m.Target]
			if now.Sub(m.At) < machineStateTTL && (!ok || m.At.After(known.At)) {
				newest[m.Target] = m
			}
		}
	}
	return slices.Collect(maps.Values(newest))
}
