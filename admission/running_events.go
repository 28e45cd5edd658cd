package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
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
	if e.TargetCrashed {
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

// observeNoNewToken updates the estimates from a report that brings no new
// token.
func (s *Scheduler) observeNoNewToken(now time.Time, r *runningRequest, p Progress) {
	target := r.target
	if !r.prefilled {
		target.Estimator.ObservePrefillWait(now, r.prefillQueueTokens, p.SinceDispatch)
		return
	}
	target.Estimator.ObserveGapWait(now, target.RunningRequests, p.Gap)
	if p.Gap > s.pool.TokenGap.Std() {
		target.Limit.Observe(now, p.Gap, target.RunningRequests)
	}
}

func (s *Scheduler) observeGap(now time.Time, r *runningRequest, tokens int, gap time.Duration) {
	if gap <= 0 {
		return
	}
	target := r.target
	target.Estimator.ObserveGap(now, target.RunningRequests, tokens, gap)
	target.Limit.Observe(now, gap, target.RunningRequests)
	s.estimator.ObserveGap(now, target.RunningRequests, tokens, gap)
}

// completePrefill records that the first token has arrived.
func (s *Scheduler) completePrefill(now time.Time, r *runningRequest, took time.Duration) {
	r.prefilled = true
	r.target.PendingPrefill -= r.uncachedTokens
	if took <= 0 {
		return
	}
	r.target.Estimator.ObservePrefill(now, r.prefillQueueTokens, took)
	s.estimator.ObservePrefill(now, r.prefillQueueTokens, took)
	s.refreshEstimatorPriors()
}

// refreshEstimatorPriors sets the pool's estimates as the prior of targets with
// few observations.
func (s *Scheduler) refreshEstimatorPriors() {
	for _, target := range s.routingTargets {
		if !target.Estimator.Calibrated() {
			target.Estimator.SetPriorFrom(s.estimator)
		}
	}
}

// predictEnd predicts the end of a running request from the tokens streamed so
// far.
func (s *Scheduler) predictEnd(now time.Time, r *runningRequest) {
	target := r.target
	if r.streamedTokens >= r.length.Median {
		r.length = s.lengths.Estimate(r.request.Team, r.request.MaxTokens, r.streamedTokens)
	}
	tokensLeft := max(0, r.length.Median-r.streamedTokens)
	remaining := time.Duration(tokensLeft) * target.Estimator.Gap(now, target.RunningRequests)
	if !r.prefilled {
		remaining += target.Estimator.Prefill(now, r.prefillQueueTokens)
	}
	r.expectedEnd = now.Add(remaining)
	target.updateNextFree(now)
}

func (s *Scheduler) observeEnd(now time.Time, r *runningRequest, e End) {
	if e.Outcome != outcome.Completed {
		return
	}
	r.target.Breaker.RecordSuccess()
	if s.crashes.RecordServed(now, r.request.Digest) {
		s.updateSuspects(now)
	}
	if r.uncalibratedCost > 0 {
		s.calibration.observe(r.uncalibratedCost, now.Sub(r.granted).Seconds())
	}
	switch {
	case e.Tokens == 0:
		r.target.Estimator.ObservePrefill(now, r.prefillQueueTokens, e.Total)
		s.estimator.ObservePrefill(now, r.prefillQueueTokens, e.Total)
		return
	case !r.prefilled:
		s.completePrefill(now, r, e.Prefill)
		if e.Tokens > 1 && e.Prefill > 0 {
			s.observeGap(now, r, e.Tokens-1, (e.Total-e.Prefill)/time.Duration(e.Tokens-1))
		}
	}
	s.lengths.Observe(r.request.Team, e.Tokens, r.request.MaxTokens)
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

// reservation is a slot freed by a preemption and kept for the request with
// this ID.
type reservation struct {
	id     ident.Request
	target *targetState
}
