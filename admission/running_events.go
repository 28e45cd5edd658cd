package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// Decline takes back an unused grant and forgets the request.
func (s *Scheduler) Decline(now time.Time, d Decline) {
	r := s.running[d.ID]
	if r == nil || r.target.Name != d.Target {
		return
	}
	s.releaseSlot(now, r, 0)
	switch d.Cause {
	case DeclineDial:
		r.target.Breaker.RecordFailure(now)
	case DeclineDraining:
		s.stopNewWork(r.target)
	}
}

// Progress handles a progress report of a running request.
func (s *Scheduler) Progress(now time.Time, p Progress) {
	r := s.running[p.ID]
	if r == nil {
		return
	}
	if p.Tokens <= r.streamedTokens {
		s.observeNoNewToken(now, r, p)
		return
	}
	streamed := p.Tokens - r.streamedTokens
	r.streamedTokens = p.Tokens
	r.target.Breaker.RecordSuccess()
	if r.prefilled {
		s.observeGap(now, r, streamed, p.Gap)
	} else {
		s.completePrefill(now, r, p.Prefill)
	}
	s.predictEnd(now, r)
}

// End handles the end of a running request.
func (s *Scheduler) End(now time.Time, e End) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	if e.ConnectionLost || e.TargetCrashed {
		r.target.Breaker.RecordFailure(now)
		s.prefixes.RemoveTarget(r.target.Target)
	}
	if e.TargetCrashed {
		s.recordLost(now, e.LostTargets)
		s.handleTargetCrash(now, r)
	}
	if e.TargetDraining {
		s.stopNewWork(r.target)
	}
	s.observeEnd(now, r, e)
	s.addEndUsage(now, r, e)
	s.releaseSlot(now, r, tokenSeconds(e.PromptTokens, e.Tokens, e.Total))
}

// RestoreRunning adds a running request that an entry reported to a new owner.
func (s *Scheduler) RestoreRunning(now time.Time, reported DispatchedRequest) {
	request := reported.Request
	if s.running[request.ID] != nil {
		return
	}
	if q := s.queue[request.ID]; q != nil {
		s.dequeue(q)
	}
	tier := s.tierOrNew(now, request.Tier)
	s.sequence++
	restored := &runningRequest{
		request:        request,
		deadline:       request.Deadline,
		target:         s.targetOrNew(reported.Target),
		team:           tier.team(request.Team, s.teamWeight(request.Team)),
		sequence:       s.sequence,
		granted:        reported.Dispatched,
		length:         s.lengths.Estimate(request.Team, request.MaxTokens, reported.Tokens),
		streamedTokens: reported.Tokens,
		uncachedTokens: request.PromptTokens,
		prefilled:      reported.Tokens > 0,
	}
	if restored.deadline.IsZero() {
		restored.deadline = now.Add(assumedDeadline)
	}
	restored.prefillQueueTokens = request.PromptTokens
	s.startRunning(now, restored)
	s.predictEnd(now, restored)
}

func (s *Scheduler) addEndUsage(now time.Time, r *runningRequest, e End) {
	counters := usage.Counters{
		PromptTokens: uint64(max(0, e.PromptTokens)),
		CachedTokens: uint64(max(0, e.CachedTokens)),
		Tokens:       uint64(max(0, e.Tokens)),
		TokenSeconds: tokenSeconds(e.PromptTokens, e.Tokens, e.Total),
	}
	switch {
	case e.Outcome == outcome.Completed:
		counters.Served = 1
		if !now.After(r.deadline) {
			counters.ServedInTime = 1
		}
	case e.Reason == outcome.Preempted:
		counters.Preempted = 1
	default:
		counters.Failed = 1
	}
	if e.Outcome != outcome.Completed && (e.Tokens > 0 || e.Prefill > 0) {
		counters.WastedPrefill = uint64(max(0, e.PromptTokens-e.CachedTokens))
	}
	s.addUsage(&r.request, r.target.Name, counters)
}
