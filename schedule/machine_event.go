package schedule

import "github.com/cornelyard/cornelyard/ident"

// MachineEvent says that this host has received the first statement of a target's process about
// its machine.
type MachineEvent struct {
	Target  ident.Target
	Pool    ident.Pool
	Percent int
}

// TakeMachineEvents returns the events since its last call.
func (s *Scheduler) TakeMachineEvents() []MachineEvent {
	events := s.machineEvents
	s.machineEvents = nil
	return events
}
