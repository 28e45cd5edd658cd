package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// Enqueue adds a request. A request whose ID is already queued or running is
// ignored.
func (s *Scheduler) Enqueue(now time.Time, r Request) {
	if s.isKnown(r.ID) {
		return
	}
	s.sequence++
	q := newQueuedRequest(now, r, s.sequence)
	tier := s.tierOrNew(now, r.Tier)
	team := tier.team(r.Team, s.teamWeight(r.Team))
	s.predictCost(now, q)
	tier.enqueue(now, q, team)
	s.queue[r.ID] = q
	s.latestStarts.add(q)
	s.addUsage(&q.request, "", usage.Counters{Queued: 1})
	if !s.refuseOnArrival(now, q) {
		s.policy.onEnqueue(now, q)
	}
}

// Cancel removes a queued request.
func (s *Scheduler) Cancel(now time.Time, id ident.Request) {
	if q := s.queue[id]; q != nil {
		s.dequeue(q)
	}
}

// meanPromptWeight is the weight of a new prompt in the exponentially weighted
// mean.
const meanPromptWeight = 0.01

// predictCost fills in the predictions for a new request and updates the mean
// prompt length.
func (s *Scheduler) predictCost(now time.Time, q *queuedRequest) {
	r := &q.request
	q.length = s.lengths.Estimate(r.Team, r.MaxTokens, 0)
	q.work.Length = q.length
	q.work.Suspect = s.crashes.IsSuspect(now, r.Content)
	q.uncalibratedCost = s.expectedSeconds(now, r.PromptTokens, q.length.Mean)
	q.cost = q.uncalibratedCost * s.calibration.factor()
	s.meanPromptTokens += meanPromptWeight * (float64(r.PromptTokens) - s.meanPromptTokens)
}

// expectedSeconds predicts the running time on an average target.
func (s *Scheduler) expectedSeconds(now time.Time, promptTokens, tokens int) float64 {
	prefill := s.estimator.Prefill(now, promptTokens)
	decode := time.Duration(tokens) * s.estimator.Gap(now, s.meanBatch())
	return (prefill + decode).Seconds()
}

func (s *Scheduler) meanBatch() int {
	if len(s.targets) == 0 {
		return 1
	}
	return 1 + len(s.running)/len(s.targets)
}

// refuseOnArrival refuses a request that waiting would not help, and reports
// whether it did.
func (s *Scheduler) refuseOnArrival(now time.Time, q *queuedRequest) bool {
	r := &q.request
	until, quarantined := s.crashes.QuarantinedUntil(now, r.Content)
	switch {
	case quarantined:
		s.queueRefusal(q, outcome.Quarantined, "requests like this one crashed targets", until.Sub(now))
	case len(r.ExcludedTargets) == 0:
		return false
	case !s.retryBudget.AllowN(now, 1):
		s.queueRefusal(q, outcome.NoTarget, "too many targets cannot be reached", noTargetRetryAfter)
	case s.excludesAllTargets(r):
		s.queueRefusal(q, outcome.NoTarget, "no target can be reached", noTargetRetryAfter)
	default:
		return false
	}
	return true
}

// noTargetRetryAfter is the retry hint while no target is usable.
const noTargetRetryAfter = 5 * time.Second

func (s *Scheduler) excludesAllTargets(r *Request) bool {
	for _, target := range s.targets {
		if !target.Draining && !slices.Contains(r.ExcludedTargets, target.Name) {
			return false
		}
	}
	return true
}

// queueRefusal refuses a queued request. The next Decide returns the refusal.
func (s *Scheduler) queueRefusal(q *queuedRequest, reason outcome.Reason, message string, retryAfter time.Duration) {
	s.pendingActions = append(s.pendingActions, s.dequeueRefused(q, reason, message, retryAfter))
}

// dequeueRefused removes a request from the queue and returns its refusal.
func (s *Scheduler) dequeueRefused(q *queuedRequest, reason outcome.Reason, message string, retryAfter time.Duration) *Refuse {
	s.dequeue(q)
	s.addUsage(&q.request, "", refusalCounters(reason))
	return &Refuse{Request: &q.request, Reason: reason, Message: message, RetryAfter: retryAfter}
}

func refusalCounters(reason outcome.Reason) usage.Counters {
	switch reason {
	case outcome.Shed:
		return usage.Counters{Shed: 1}
	case outcome.Infeasible:
		return usage.Counters{Infeasible: 1}
	default:
		return usage.Counters{Refused: 1}
	}
}

// dequeue removes a request from all queues and cancels its claim on a
// preempted slot.
func (s *Scheduler) dequeue(q *queuedRequest) {
	q.team.tier.dequeue(q)
	s.latestStarts.remove(q)
	s.policy.onDequeue(q)
	delete(s.queue, q.request.ID)
	if q.victim != nil {
		q.victim.beneficiary = nil
		q.victim = nil
	}
}

// addUsage adds to the usage aggregator, if there is one.
func (s *Scheduler) addUsage(r *Request, target ident.Target, counters usage.Counters) {
	if s.options.Usage == nil {
		return
	}
	key := usage.Key{Team: r.Team, Tier: r.Tier, Pool: s.options.Pool, Target: target}
	s.options.Usage.Add(key, counters)
}
