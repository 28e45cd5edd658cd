package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// lateWaitRatio is the fraction of the time until the caller is expected to leave
	// after which a late request is refused, so that the caller can still retry.
	lateWaitRatio = 0.5
	// minCapacityRatio is the least fraction of the slots that is assumed to remain
	// beside more urgent requests.
	minCapacityRatio = 0.05
	// minRetryAfter is the shortest retry delay given to a caller.
	minRetryAfter = 100 * time.Millisecond
	// retryDeadlineRatio bounds the retry delay to a fraction of the time until the
	// deadline; the rest is left for the retry itself.
	retryDeadlineRatio = 0.3
	// noTargetRetryAfter is the retry delay if the pool has no usable target.
	noTargetRetryAfter = time.Second
)

// refuseExpired moves requests that have become late behind the others, and refuses
// those that have waited too long or would.
func (s *Scheduler) refuseExpired(now time.Time, p *pool, actions []Action) []Action {
	var demoted []*queuedRequest
	kept := p.queue.items[:0]
	for _, w := range p.queue.items {
		switch {
		case w.request.RequiresVersion && !p.hasCandidate(now, w.request), p.lacksOnlyLimits(now, w.request):
			actions = append(actions, s.refuse(now, p, w, ""))
		case !now.Before(w.refuseAt):
			actions = append(actions, s.refuse(now, p, w, "no slot was free in time"))
		case !w.late && !now.Before(w.latestStart):
			w.late = true
			if p.hasUnlimited(now, w.request) {
				p.shares.recordShortage(now)
			}
			demoted = append(demoted, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(p.queue.items[len(kept):])
	p.queue.items = kept
	for _, w := range demoted {
		if s.wouldExpire(now, p, w) {
			actions = append(actions, s.refuse(now, p, w, "no slot will be free in time"))
			continue
		}
		p.queue.add(w)
	}
	return actions
}

// wouldExpire reports whether a request is predicted to still be queued at refuseAt.
func (s *Scheduler) wouldExpire(now time.Time, p *pool, w *queuedRequest) bool {
	return now.Add(s.predictWait(now, p, w)).After(w.refuseAt)
}

// predictWait predicts how long a request waits for the requests ahead of it, while
// more urgent requests that are yet to arrive also take slots.
func (s *Scheduler) predictWait(now time.Time, p *pool, w *queuedRequest) time.Duration {
	targets := p.candidates(now, w.request)
	if len(targets) == 0 {
		return 0
	}
	if !slices.ContainsFunc(targets, func(t *target) bool { return !t.limited() }) {
		return s.limitedWait(now, p, w, targets)
	}
	ahead := p.scaleToCandidates(now, w.request, p.queue.position(w)+s.peersAhead(now, p.name, w), targets)
	ahead -= max(0, freeSlots(now, targets)-s.reservedSlots(now, p, w, targets)-1)
	if ahead <= 0 {
		return 0
	}
	all := p.capacity(now, targets)
	taken, _ := p.urgentLoad(now, w)
	capacity := max(all-taken, minCapacityRatio*all)
	return seconds(float64(ahead) * p.meanServiceOf(now, w.request.Rank) / capacity)
}

// meanServiceOf returns the mean service time of a rank in seconds, over all hosts.
func (p *pool) meanServiceOf(now time.Time, r Rank) float64 {
	rate, taken := 0.0, 0.0
	if d := p.demands.get(r); d != nil && d.meanService > 0 {
		rate, taken = d.rate(now), d.meanSlots(now)
	}
	if others := p.peerDemands.get(r); others != nil && others.slots > 0 {
		rate += others.rate
		taken += others.slots
	}
	if rate > 0 {
		return taken / rate
	}
	return p.meanService
}

// refuse returns the refusal of a request, which the caller has already removed from
// the queue.
func (s *Scheduler) refuse(now time.Time, p *pool, w *queuedRequest, message string) *Refuse {
	delete(s.queued, w.request.ID)
	reason, retry := outcome.Shed, s.predictWait(now, p, w)
	inputs := s.inputs(now, p, w)
	inputs.PredictedWait = retry
	if p.lacksOnlyLimits(now, w.request) {
		return s.limitRefusal(now, p, w, inputs)
	}
	if w.request.RequiresVersion && !p.hasCandidate(now, w.request) {
		return s.versionRefusal(now, p, w, inputs)
	}
	if inputs.UsableTargets == 0 {
		reason, message, retry = outcome.NoTarget, "no target of the pool is usable", noTargetRetryAfter
	}
	return &Refuse{
		Request:    w.request.ID,
		Reason:     reason,
		Message:    message,
		RetryAfter: s.retryAfter(now, w, retry),
		Reserved:   w.reservedWait > 0,
		Inputs:     inputs,
	}
}

// limitRefusal returns the refusal of a request that no target may get because of the limits
// that they state.
func (s *Scheduler) limitRefusal(now time.Time, p *pool, w *queuedRequest, inputs Inputs) *Refuse {
	inputs.PredictedWait = s.limitedPoolWait(now, p, w)
	return &Refuse{
		Request:    w.request.ID,
		Reason:     outcome.TargetsLimited,
		Message:    "the targets take no more requests per second",
		RetryAfter: s.retryAfter(now, w, inputs.PredictedWait),
		Inputs:     inputs,
	}
}

// versionRefusal returns the refusal of a request that no target may serve. A retry helps
// only if it may become certain that one has the version.
func (s *Scheduler) versionRefusal(now time.Time, p *pool, w *queuedRequest, inputs Inputs) *Refuse {
	refusal := &Refuse{
		Request: w.request.ID,
		Reason:  outcome.NoVersion,
		Message: "no target is certain to have the version that began the stream",
		Inputs:  inputs,
	}
	if p.hasVersion(w.request) {
		refusal.RetryAfter = s.retryAfter(now, w, 0)
	}
	return refusal
}

// retryAfter returns the retry delay of a refused request. It spreads retries over the
// time after the predicted end of the queue, and leaves each caller time for its retry.
func (s *Scheduler) retryAfter(now time.Time, w *queuedRequest, wait time.Duration) time.Duration {
	switch {
	case w.reservedWait > 0:
		return w.reservedWait
	case w.unreserved:
		return max(longestRetryAfter(now, w), minRetryAfter)
	}
	spread := seconds(s.random() * (wait + minRetryAfter).Seconds())
	return max(min(wait+minRetryAfter+spread, longestRetryAfter(now, w)), minRetryAfter)
}

// longestRetryAfter returns the longest retry delay that leaves time for the retry itself.
func longestRetryAfter(now time.Time, w *queuedRequest) time.Duration {
	return seconds(retryDeadlineRatio * w.request.Deadline.Sub(now).Seconds())
}
