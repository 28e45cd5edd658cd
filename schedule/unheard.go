package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// unheardTime is how long this host gets no response from any target of a pool, although
	// they accept its connections, before it may conclude that it is cut off from them.
	unheardTime = time.Second
	// peerResponseAge is the greatest age of a response to another host for that conclusion.
	peerResponseAge = 2 * time.Second
	// minUnheardTargets and maxUnheardTargets bound the number of targets that must have left
	// this host without a response. One alone may have failed, or have paused.
	minUnheardTargets = 2
	maxUnheardTargets = 3
	// linkTrialInterval is the time between two requests that are sent to a target although
	// this host counts as cut off, to find out whether it gets responses again.
	linkTrialInterval = time.Second
	// linkTrialWait is how long such a request waits for a target that may get it, before it is
	// passed on.
	linkTrialWait = 100 * time.Millisecond
)

// Unheard reports whether this host is cut off from a pool although its targets accept
// connections: several of them leave its requests without a response, or break them off, while
// other hosts get responses from the pool. Once it has found that out, it holds until a
// response arrives.
func (s *Scheduler) Unheard(now time.Time, name ident.Pool) bool {
	p := s.poolOf(name)
	heardAt := p.lastResponseAt()
	if !p.unheardSince.IsZero() {
		return !heardAt.After(p.unheardSince)
	}
	if now.Sub(heardAt) < unheardTime || s.unheardTargets(now, p, heardAt) < p.minUnheard() {
		return false
	}
	respondedAt := s.peersRespondedAt(name)
	if now.Sub(respondedAt) > peerResponseAge || !respondedAt.After(heardAt.Add(unheardTime/2)) {
		return false
	}
	p.unheardSince = now
	p.linkTrialAt = now
	return true
}

// minUnheard returns how many targets must have left this host without a response.
func (p *pool) minUnheard() int {
	available := 0
	for _, t := range p.targets {
		if t.available() {
			available++
		}
	}
	return min(max(available, minUnheardTargets), maxUnheardTargets)
}

// unheardTargets returns the number of targets that have broken off a request of this host
// since it last got a response, or have left one unanswered for long.
func (s *Scheduler) unheardTargets(now time.Time, p *pool, heardAt time.Time) int {
	unheard := make(map[*target]bool)
	for _, t := range p.targets {
		if t.brokenAt.After(heardAt) && now.Sub(t.brokenAt) < doubtTime {
			unheard[t] = true
		}
	}
	for _, r := range s.running {
		if r.request.Pool == p.name && now.Sub(r.dispatchedAt) > unheardTime {
			unheard[r.target] = true
		}
	}
	return len(unheard)
}

// isLinkTrial reports whether a request is to be sent to a target although this host gets no
// responses from the pool. It must be one that loses nothing if that fails.
func (p *pool) isLinkTrial(now time.Time, r *Request) bool {
	if p.unheardSince.IsZero() || !r.Retryable || now.Sub(p.linkTrialAt) < linkTrialInterval {
		return false
	}
	p.linkTrialAt = now
	return true
}
