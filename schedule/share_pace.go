package schedule

import "time"

const (
	// minPacedHosts is the number of other hosts from which on dispatches are spaced. Fewer hosts
	// learn of each other's dispatches within milliseconds, because each sends all its changes
	// to all others.
	minPacedHosts = 16
	// paceHeadroom is by how much a host may take slots faster than they are predicted to become
	// free for it. It makes up for hosts that use less than their part, and for what their reports
	// hold of requests that are no longer queued.
	paceHeadroom = 2
	// maxPaceTokens bounds the slots that a host may take at once after a pause.
	maxPaceTokens = 1
)

// sharePace spaces the requests of one host while many see the same slot become free. Each may
// take slots at its part of the rate at which they become free; otherwise targets would get
// more requests than they have slots.
type sharePace struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens of the time since the last call.
func (s *sharePace) refill(now time.Time, perSecond float64) {
	s.tokens = min(s.tokens+perSecond*now.Sub(s.updatedAt).Seconds(), maxPaceTokens)
	s.updatedAt = now
}

// isPaced reports whether a request waits although a slot seems to be free. Requests that come
// before all of other hosts are not held back.
func (s *Scheduler) isPaced(now time.Time, p *pool, w *queuedRequest, targets []*target) bool {
	if s.peerCount < minPacedHosts || w.request.RequiresVersion {
		return false
	}
	ahead, contested := p.aheadShare(now, w, s.competition(now, p.name, w))
	if !contested {
		return false
	}
	rate := p.capacity(now, targets) / p.meanServiceOf(now, w.request.Rank) * p.shares.accounts.QueuedShare()
	p.shares.pace.refill(now, paceHeadroom*rate)
	return ahead > 0 && p.shares.pace.tokens < 1
}
