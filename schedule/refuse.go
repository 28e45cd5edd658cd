package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// latePatience is the part of the time until the caller leaves after which a
	// request that still waits is refused, so that the caller can come back.
	latePatience = 0.5
	// minCapacity is the least part of the slots that is counted on for requests
	// after more urgent ones.
	minCapacity = 0.05
	// shortestRetry is the least time that a caller is told to stay away.
	shortestRetry = 100 * time.Millisecond
	// retryShare bounds what a caller is told by the time that it has left: it
	// needs the rest for the second try.
	retryShare = 0.3
	// emptyRetry is when to come back to a pool without any target.
	emptyRetry = time.Second
)

// refuseExpired demotes requests that are late, and refuses those whose time to
// wait is over.
func (s *Scheduler) refuseExpired(now time.Time, p *pool, actions []Action) []Action {
	var demoted []*waiting
	kept := p.queue.items[:0]
	for _, w := range p.queue.items {
		switch {
		case !now.Before(w.giveUp):
			actions = append(actions, s.refuse(now, p, w, "no slot was free in time"))
		case !w.late && !now.Before(w.lapse):
			w.late = true
			demoted = append(demoted, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(p.queue.items[len(kept):])
	p.queue.items = kept
	for _, w := range demoted {
		if s.hopeless(now, p, w) {
			actions = append(actions, s.refuse(now, p, w, "no slot will be free in time"))
			continue
		}
		p.queue.add(w)
	}
	return actions
}

// hopeless says whether a new request would be refused after a vain wait.
func (s *Scheduler) hopeless(now time.Time, p *pool, w *waiting) bool {
	return now.Add(s.wait(now, p, w)).After(w.giveUp)
}

// wait predicts how long a request waits for its turn: for those before it, while
// more urgent ones that have not arrived yet take slots too.
func (s *Scheduler) wait(now time.Time, p *pool, w *waiting) time.Duration {
	targets := p.usable(now)
	if len(targets) == 0 {
		return 0
	}
	ahead := p.queue.position(w) + s.peersAhead(now, p.name, w)
	ahead -= max(0, freeSlots(now, targets)-s.reserve(now, p, w, targets)-1)
	if ahead <= 0 {
		return 0
	}
	all := float64(slots(targets))
	taken, _ := p.urgent(now, w)
	capacity := max(all-taken, minCapacity*all)
	return seconds(float64(ahead) * p.serviceOf(now, w.request.Rank) / capacity)
}

// serviceOf returns the mean time in service of a rank in seconds, over all hosts.
func (p *pool) serviceOf(now time.Time, r Rank) float64 {
	rate, taken := 0.0, 0.0
	if d := p.demands[r]; d != nil && d.service > 0 {
		rate, taken = d.rate(now), d.slots(now)
	}
	if others := p.others[r]; others != nil && others.slots > 0 {
		rate += others.rate
		taken += others.slots
	}
	if rate > 0 {
		return taken / rate
	}
	return p.service
}

// refuse takes a request that is not in the queue any more and gives it its final
// answer.
func (s *Scheduler) refuse(now time.Time, p *pool, w *waiting, message string) *Refuse {
	delete(s.queued, w.request.ID)
	reason, retry := outcome.Shed, s.wait(now, p, w)
	inputs := s.inputs(now, p, w)
	inputs.PredictedWait = retry
	if inputs.UsableTargets == 0 {
		reason, message, retry = outcome.NoTarget, "no target of the pool is usable", emptyRetry
	}
	return &Refuse{
		Request:    w.request.ID,
		Reason:     reason,
		Message:    message,
		RetryAfter: s.retryAfter(now, w, retry),
		Inputs:     inputs,
	}
}

// retryAfter spreads the callers' returns over the time after the predicted end of
// the queue, and leaves each time for its second try.
func (s *Scheduler) retryAfter(now time.Time, w *waiting, wait time.Duration) time.Duration {
	spread := seconds(s.random() * (wait + shortestRetry).Seconds())
	left := seconds(retryShare * w.request.Deadline.Sub(now).Seconds())
	return max(min(wait+shortestRetry+spread, left), shortestRetry)
}
