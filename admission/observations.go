package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

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
	if len(s.crashes.RecordServed(now, r.request.Content)) > 0 {
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
