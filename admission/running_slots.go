package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/usage"
)

// startRunning takes a slot of the request's target.
func (s *Scheduler) startRunning(now time.Time, r *runningRequest) {
	target := r.target
	s.running[r.id()] = r
	target.running.add(r)
	target.RecordStart(now)
	r.team.tier.running.add(r)
	if !r.prefilled {
		target.PendingPrefill += r.uncachedTokens
	}
	s.markSuspect(now, r)
}

// releaseSlot frees the slot of a running request and corrects its team's
// charge to the usage in token-seconds.
func (s *Scheduler) releaseSlot(now time.Time, r *runningRequest, usedTokenSeconds float64) {
	target, tier := r.target, r.team.tier
	delete(s.running, r.id())
	target.running.remove(r)
	target.RecordEnd(now)
	tier.running.remove(r)
	tier.hazard.observe(now, now.Sub(r.granted), r.preempted)
	if !r.prefilled {
		target.PendingPrefill -= r.uncachedTokens
	}
	if r.suspect {
		target.Suspects--
	}
	if r.preempted {
		s.completePreemption(r)
	}
	target.updateNextFree(now)
	tier.charge(now, r.team, usedTokenSeconds-r.chargedTokenSeconds)
}

// releaseLost releases and counts as failed a running request whose entry was
// lost.
func (s *Scheduler) releaseLost(now time.Time, r *runningRequest) {
	s.addUsage(&r.request, r.target.Name, usage.Counters{
		Failed:       1,
		PromptTokens: uint64(r.request.PromptTokens),
		Tokens:       uint64(r.streamedTokens),
		TokenSeconds: r.tokenSeconds(now),
	})
	s.releaseSlot(now, r, r.tokenSeconds(now))
}

// completePreemption reserves the slot of a preempted request for its
// beneficiary.
func (s *Scheduler) completePreemption(r *runningRequest) {
	s.preempting--
	r.target.preempting--
	r.team.tier.preempting--
	if q := r.beneficiary; q != nil {
		q.victim = nil
		s.reservations = append(s.reservations, reservation{id: q.request.ID, target: r.target})
	}
}

func (s *Scheduler) stopNewWork(target *targetState) {
	target.refusesWork = true
	target.updateDraining()
}
