package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// stopMargin is a safety factor for the predicted time of a request while this host stops,
	// because many requests take longer than predicted.
	stopMargin = 2.0
	// stopRetryAfter is short, since the caller can retry at another host.
	stopRetryAfter = 100 * time.Millisecond
)

// SetLeaving records that this host is stopping and has no time for requests after stopAt. Other
// hosts use the limits of targets, and requests that may take longer are refused.
func (s *Scheduler) SetLeaving(stopAt time.Time) {
	s.leaving, s.stopAt = true, stopAt
	s.ratesAt = time.Time{}
}

// outlastsHost reports whether a request that is sent now may take longer than this host runs.
func (s *Scheduler) outlastsHost(now time.Time, p *pool, r *Request) bool {
	return s.leaving && now.Add(p.longestTime(now, r)).After(s.stopAt)
}

// longestTime returns how long a request may take at a target: what is predicted, with a margin, or
// the time until its deadline if that is shorter, or if nothing is known of such requests.
func (p *pool) longestTime(now time.Time, r *Request) time.Duration {
	left := max(r.Deadline.Sub(now), 0)
	predicted := p.predictedTime(now, r)
	if predicted == 0 {
		return left
	}
	return min(seconds(stopMargin*predicted.Seconds()), left)
}

// predictedTime predicts how long a request takes at a target, or returns zero if nothing is known of
// such requests.
func (p *pool) predictedTime(now time.Time, r *Request) time.Duration {
	if p.engine == nil || r.OutputTokens == 0 {
		return p.knownServiceTime(now, r.Rank)
	}
	return p.idleFirstEventTime(now, r) + seconds(float64(r.OutputTokens)*p.meanTokenTime(now))
}

// knownServiceTime returns the mean service time of requests of the rank that were served, by this
// host or by others, or zero.
func (p *pool) knownServiceTime(now time.Time, rank Rank) time.Duration {
	if d := p.demands.get(rank); d != nil && d.meanService > 0 {
		return seconds(d.meanService)
	}
	if others := p.peerDemands.get(rank); others != nil && others.rate > 0 {
		return seconds(others.slots / others.rate)
	}
	return 0
}

// meanTokenTime returns the time per output token of the pool's targets, in seconds.
func (p *pool) meanTokenTime(now time.Time) float64 {
	if interval := p.meanEventInterval(now); interval > 0 {
		return interval / p.tokensPerEvent()
	}
	return p.eventInterval / p.tokensPerEvent()
}

// refuseOutlasting refuses the queued requests that may take longer than this host runs.
func (s *Scheduler) refuseOutlasting(now time.Time, p *pool, actions []Action) []Action {
	if !s.leaving {
		return actions
	}
	kept := p.queue.items[:0]
	for _, w := range p.queue.items {
		if s.outlastsHost(now, p, w.request) {
			actions = append(actions, s.stopRefusal(now, p, w))
			continue
		}
		kept = append(kept, w)
	}
	clear(p.queue.items[len(kept):])
	p.queue.items = kept
	return actions
}

// stopRefusal returns the refusal of a request that is not, or no longer, queued.
func (s *Scheduler) stopRefusal(now time.Time, p *pool, w *queuedRequest) *Refuse {
	delete(s.queued, w.request.ID)
	return &Refuse{
		Request:    w.request.ID,
		Reason:     outcome.Draining,
		Message:    "this host stops before the request is sure to end",
		RetryAfter: stopRetryAfter,
		Inputs:     s.inputs(now, p, w),
	}
}
