package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/usage"
)

// Enqueue adds a request; one whose ID is queued or in service is ignored.
func (s *Scheduler) Enqueue(now time.Time, r Request) {
	if s.knows(r.ID) {
		return
	}
	s.sequence++
	q := newQueued(now, r, s.sequence)
	tier := s.tierOf(now, r.Tier)
	team := tier.team(r.Team, s.weight(r.Team))
	s.estimate(now, q)
	tier.enqueue(now, q, team)
	s.queue[r.ID] = q
	s.giveUp.add(q)
	s.count(&q.request, "", usage.Counters{Queued: 1})
	if !s.refuseAtOnce(now, q) {
		s.discipline.enqueued(now, q)
	}
}

// Cancel takes out a queued request.
func (s *Scheduler) Cancel(now time.Time, id ident.Request) {
	if q := s.queue[id]; q != nil {
		s.dequeue(q)
	}
}

// promptSmoothing is the weight of a new prompt in the mean.
const promptSmoothing = 0.01

// estimate fills in what is predicted of a new request.
func (s *Scheduler) estimate(now time.Time, q *queued) {
	r := &q.request
	q.length = s.lengths.Estimate(r.Team, r.MaxTokens, 0)
	q.work.Length = q.length
	q.work.Suspect = s.strikes.suspect(now, r.Digest)
	q.rawCost = s.expectedSeconds(now, r.PromptTokens, q.length.Mean)
	q.cost = q.rawCost * s.calibration.factor()
	s.meanPrompt += promptSmoothing * (float64(r.PromptTokens) - s.meanPrompt)
}

// expectedSeconds predicts the time in service on an average target.
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

// refuseAtOnce refuses what no waiting would help, and says whether it did.
func (s *Scheduler) refuseAtOnce(now time.Time, q *queued) bool {
	r := &q.request
	expiry, quarantined := s.strikes.quarantined(now, r.Digest)
	switch {
	case quarantined:
		s.refuse(q, outcome.Quarantined, "requests like this one crashed targets", expiry.Sub(now))
	case len(r.ExcludedTargets) == 0:
		return false
	case !s.retryBudget.AllowN(now, 1):
		s.refuse(q, outcome.NoTarget, "too many targets cannot be reached", noTargetRetry)
	case s.avoidsAll(r):
		s.refuse(q, outcome.NoTarget, "no target can be reached", noTargetRetry)
	default:
		return false
	}
	return true
}

// noTargetRetry is when to come back while there is no usable target.
const noTargetRetry = 5 * time.Second

func (s *Scheduler) avoidsAll(r *Request) bool {
	for _, target := range s.targets {
		if !target.Leaving && !slices.Contains(r.ExcludedTargets, target.Name) {
			return false
		}
	}
	return true
}

// refuse gives a queued request its final answer at the next decision.
func (s *Scheduler) refuse(q *queued, reason outcome.Reason, message string, retryAfter time.Duration) {
	s.pending = append(s.pending, s.refusal(q, reason, message, retryAfter))
}

// refusal takes a request out of the queue and returns its final answer.
func (s *Scheduler) refusal(q *queued, reason outcome.Reason, message string, retryAfter time.Duration) *Refuse {
	s.dequeue(q)
	s.count(&q.request, "", refusedCounters(reason))
	return &Refuse{Request: &q.request, Reason: reason, Message: message, RetryAfter: retryAfter}
}

func refusedCounters(reason outcome.Reason) usage.Counters {
	switch reason {
	case outcome.Shed:
		return usage.Counters{Shed: 1}
	case outcome.Infeasible:
		return usage.Counters{Infeasible: 1}
	default:
		return usage.Counters{Refused: 1}
	}
}

// dequeue takes a request out of every order.
func (s *Scheduler) dequeue(q *queued) {
	q.team.tier.dequeue(q)
	s.giveUp.remove(q)
	s.discipline.dequeued(q)
	delete(s.queue, q.request.ID)
	if q.victim != nil {
		q.victim.beneficiary = nil
		q.victim = nil
	}
}

// count adds to the usage ledger.
func (s *Scheduler) count(r *Request, target ident.Target, counters usage.Counters) {
	if s.options.Usage == nil {
		return
	}
	key := usage.Key{Team: r.Team, Tier: r.Tier, Pool: s.options.Pool, Target: target}
	s.options.Usage.Add(key, counters)
}
