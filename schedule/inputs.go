package schedule

import "time"

// Inputs is what a decision rested on.
type Inputs struct {
	// UsableTargets is the number of targets that could get the request, and Free their
	// free slots.
	UsableTargets int
	FreeSlots     int
	// Queued is the requests that this host has queued in the pool, and Ahead
	// those of all hosts that come before.
	Queued int
	Ahead  int
	// Peers is the number of hosts that are heard, and NewsAge the age of the
	// oldest news of them.
	Peers        int
	PeerStateAge time.Duration
	// PredictedWait is the predicted wait.
	PredictedWait time.Duration
}

func (s *Scheduler) inputs(now time.Time, p *pool, w *queuedRequest) Inputs {
	targets := p.usableTargets(now)
	in := Inputs{
		UsableTargets: len(targets),
		FreeSlots:     freeSlots(now, targets),
		Queued:        len(p.queue.items),
		Ahead:         p.queue.position(w) + s.peersAhead(now, p.name, w),
	}
	for peer := range s.peerStates() {
		in.Peers += peer.hosts
		in.PeerStateAge = max(in.PeerStateAge, now.Sub(peer.receivedAt))
	}
	return in
}
