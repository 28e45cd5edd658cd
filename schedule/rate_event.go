package schedule

import "github.com/cornelyard/cornelyard/ident"

// RateEvent says that this host has become a keeper of a target that states a limit, or is
// none any longer.
type RateEvent struct {
	Target ident.Target
	// Rate is the requests per second that this host may send, of PerSecond that the target
	// states.
	Rate      float64
	PerSecond float64
	// ConnectedHosts is the number of hosts that receive each other's states, including this one, and Hosts
	// that of all hosts.
	ConnectedHosts int
	Hosts          int
}

// TakeRateEvents returns the events since the last call.
func (s *Scheduler) TakeRateEvents() []RateEvent {
	events := s.rateEvents
	s.rateEvents = nil
	return events
}
