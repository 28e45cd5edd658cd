package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// Decline takes a grant back that was not used. The request is forgotten.
func (s *Scheduler) Decline(now time.Time, d Decline) {
	r := s.running[d.ID]
	if r == nil || r.target.Name != d.Target {
		return
	}
	s.release(now, r, 0)
	switch d.Cause {
	case DeclineDial:
		r.target.Breaker.RecordFailure(now)
	case DeclineLeaving:
		s.targetRefuses(r.target)
	}
}

// Progress takes in a report on a request in service.
func (s *Scheduler) Progress(now time.Time, p Progress) {
	r := s.running[p.ID]
	if r == nil {
		return
	}
	if p.Tokens <= r.tokens {
		s.observeWait(now, r, p)
		return
	}
	streamed := p.Tokens - r.tokens
	r.tokens = p.Tokens
	r.target.Breaker.RecordSuccess()
	if r.prefilled {
		s.observeGap(now, r, streamed, p.Gap)
	} else {
		s.endPrefill(now, r, p.Prefill)
	}
	s.expectEnd(now, r)
}

// End takes in that a request left its target.
func (s *Scheduler) End(now time.Time, e End) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	if e.TargetCrashed {
		s.targetDied(now, r)
	}
	if e.TargetLeaving {
		s.targetRefuses(r.target)
	}
	s.observeEnd(now, r, e)
	s.countEnd(now, r, e)
	s.release(now, r, tokenSeconds(e.PromptTokens, e.Tokens, e.Total))
}

// RestoreRunning takes in a request in service that an entry reported to a new owner.
func (s *Scheduler) RestoreRunning(now time.Time, in RunningRequest) {
	r := in.Request
	if s.running[r.ID] != nil {
		return
	}
	if q := s.queue[r.ID]; q != nil {
		s.dequeue(q)
	}
	tier := s.tierOf(now, r.Tier)
	s.sequence++
	adopted := &running{
		request:   r,
		deadline:  r.Deadline,
		target:    s.targetOf(in.Target),
		team:      tier.team(r.Team, s.weight(r.Team)),
		sequence:  s.sequence,
		granted:   in.Dispatched,
		length:    s.lengths.Estimate(r.Team, r.MaxTokens, in.Tokens),
		tokens:    in.Tokens,
		computed:  r.PromptTokens,
		prefilled: in.Tokens > 0,
	}
	if adopted.deadline.IsZero() {
		adopted.deadline = now.Add(noDeadline)
	}
	adopted.prefillWork = r.PromptTokens
	s.start(now, adopted)
	s.expectEnd(now, adopted)
}

// start gives a request its slot.
func (s *Scheduler) start(now time.Time, r *running) {
	target := r.target
	s.running[r.id()] = r
	target.running.add(r)
	target.RecordStart(now)
	r.team.tier.running.add(r)
	if !r.prefilled {
		target.PendingPrefill += r.computed
	}
	s.markSuspect(now, r)
}

// release frees the slot of a request in service and settles its account.
func (s *Scheduler) release(now time.Time, r *running, used float64) {
	target, tier := r.target, r.team.tier
	delete(s.running, r.id())
	target.running.remove(r)
	target.RecordEnd(now)
	tier.running.remove(r)
	tier.hazard.note(now, now.Sub(r.granted), r.preempted)
	if !r.prefilled {
		target.PendingPrefill -= r.computed
	}
	if r.suspect {
		target.Suspects--
	}
	if r.preempted {
		s.endPreemption(r)
	}
	target.updateNextFree(now)
	tier.charge(now, r.team, used-r.charged)
}

// endPreemption hands the slot of a preempted request to the one that it was
// stopped for.
func (s *Scheduler) endPreemption(r *running) {
	s.freeing--
	r.target.freeing--
	r.team.tier.freeing--
	if q := r.beneficiary; q != nil {
		q.victim = nil
		s.reserved = append(s.reserved, reservation{id: q.request.ID, target: r.target})
	}
}

func (s *Scheduler) targetRefuses(target *targetState) {
	target.refusing = true
	target.updateLeaving()
}

// observeWait learns from a report that brings no new token.
func (s *Scheduler) observeWait(now time.Time, r *running, p Progress) {
	target := r.target
	if !r.prefilled {
		target.Estimator.ObservePrefillWait(now, r.prefillWork, p.SinceDispatch)
		return
	}
	target.Estimator.ObserveGapWait(now, target.InService, p.Gap)
	if p.Gap > s.pool.TokenGap.Std() {
		target.Limit.Observe(now, p.Gap, target.InService)
	}
}

func (s *Scheduler) observeGap(now time.Time, r *running, tokens int, gap time.Duration) {
	if gap <= 0 {
		return
	}
	target := r.target
	target.Estimator.ObserveGap(now, target.InService, tokens, gap)
	target.Limit.Observe(now, gap, target.InService)
	s.estimator.ObserveGap(now, target.InService, tokens, gap)
}

// endPrefill takes in that the first token came.
func (s *Scheduler) endPrefill(now time.Time, r *running, took time.Duration) {
	r.prefilled = true
	r.target.PendingPrefill -= r.computed
	if took <= 0 {
		return
	}
	r.target.Estimator.ObservePrefill(now, r.prefillWork, took)
	s.estimator.ObservePrefill(now, r.prefillWork, took)
	s.spreadKnowledge()
}

// spreadKnowledge lets targets of which little is known lean on the pool.
func (s *Scheduler) spreadKnowledge() {
	for _, target := range s.routes {
		if !target.Estimator.Calibrated() {
			target.Estimator.SetPriorFrom(s.estimator)
		}
	}
}

// expectEnd predicts the end of a request in service from what it streamed.
func (s *Scheduler) expectEnd(now time.Time, r *running) {
	target := r.target
	if r.tokens >= r.length.Median {
		r.length = s.lengths.Estimate(r.request.Team, r.request.MaxTokens, r.tokens)
	}
	left := max(0, r.length.Median-r.tokens)
	took := time.Duration(left) * target.Estimator.Gap(now, target.InService)
	if !r.prefilled {
		took += target.Estimator.Prefill(now, r.prefillWork)
	}
	r.expectedEnd = now.Add(took)
	target.updateNextFree(now)
}

func (s *Scheduler) observeEnd(now time.Time, r *running, e End) {
	if e.Outcome != outcome.Completed {
		return
	}
	r.target.Breaker.RecordSuccess()
	s.strikes.clear(r.request.Digest)
	if r.rawCost > 0 {
		s.calibration.observe(r.rawCost, now.Sub(r.granted).Seconds())
	}
	switch {
	case e.Tokens == 0:
		r.target.Estimator.ObservePrefill(now, r.prefillWork, e.Total)
		s.estimator.ObservePrefill(now, r.prefillWork, e.Total)
		return
	case !r.prefilled:
		s.endPrefill(now, r, e.Prefill)
		if e.Tokens > 1 && e.Prefill > 0 {
			s.observeGap(now, r, e.Tokens-1, (e.Total-e.Prefill)/time.Duration(e.Tokens-1))
		}
	}
	s.lengths.Observe(r.request.Team, e.Tokens, r.request.MaxTokens)
}

func (s *Scheduler) countEnd(now time.Time, r *running, e End) {
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
	s.count(&r.request, r.target.Name, counters)
}

// dropped counts a request in service whose entry was lost.
func (s *Scheduler) dropped(now time.Time, r *running) {
	s.count(&r.request, r.target.Name, usage.Counters{
		Failed:       1,
		PromptTokens: uint64(r.request.PromptTokens),
		Tokens:       uint64(r.tokens),
		TokenSeconds: r.tokenSeconds(now),
	})
	s.release(now, r, r.tokenSeconds(now))
}

// reservation keeps the slot that a preempted request left for another one.
type reservation struct {
	id     ident.Request
	target *targetState
}
