package schedule

import "time"

// Inputs records the values that a decision was based on.
type Inputs struct {
	// UsableTargets is the number of targets that could get the request, and FreeSlots
	// their free slots.
	UsableTargets int
	FreeSlots     int
	// LimitedTargets is the number of targets that get fewer requests, or none, from this
	// host because of the limits that they state.
	LimitedTargets int
	// Queued is the number of requests that this host has queued in the pool, and Ahead
	// the number of requests of all hosts that come before this one.
	Queued int
	Ahead  int
	// Peers is the number of hosts whose state is known, and PeerStateAge the age of the
	// oldest such state.
	Peers        int
	PeerStateAge time.Duration
	// PredictedWait is the predicted queueing time. Only refusals set it.
	PredictedWait time.Duration
}

func (s *Scheduler) inputs(now time.Time, p *pool, w *queuedRequest) Inputs {
	targets := p.candidates(now, w.request)
	in := Inputs{
		UsableTargets: len(targets),
		FreeSlots:     freeSlots(now, targets),
		Queued:        len(p.queue.items),
		Ahead:         p.queue.position(w) + s.peersAhead(now, p.name, w),
	}
	for _, t := range p.targets {
		if t.available() && t.limited() {
			in.LimitedTargets++
		}
	}
	for peer := range s.peerStates() {
		in.Peers += peer.hosts
		in.PeerStateAge = max(in.PeerStateAge, now.Sub(peer.receivedAt))
	}
	return in
}
