package schedule

import (
	"math"
	"time"
)

const (
	// minCheckedSaving is the least predicted saving that the time to the first event can confirm or
	// refute. It is about the overhead of the network and of one step of the engine, which
	// firstEventOverhead only estimates.
	minCheckedSaving = 20 * time.Millisecond
	// minMissCertainty is the least certainty with which a late first event counts against the cache.
	minMissCertainty = 0.2
	// prefixEventInterval is the least time between two events about wrong predictions in a pool.
	prefixEventInterval = 10 * time.Second
)

// checkPrefix compares the time that the target took to the first event, without the overhead, with
// what was predicted of its cache. It returns how many more tokens than expected the target
// processed. A time that is longer than that of a prompt without cached tokens has other causes,
// such as prompts of other hosts, and shows nothing.
func (s *Scheduler) checkPrefix(now time.Time, p *pool, r *runningRequest, elapsed time.Duration) (unexpected int) {
	t := r.target
	if !p.knowsMemory() || r.cached == 0 || r.startUnixMs != t.StartUnixMs {
		return 0
	}
	rate := p.prefillRateOf(now, t) / t.machine.expected(now)
	saving := seconds(float64(r.cached) / rate)
	if saving < minCheckedSaving {
		return 0
	}
	discounted := r.cached - (r.request.PromptTokens - r.prefill)
	ifCached := seconds(float64(r.prefillAhead-discounted) / rate)
	switch {
	case elapsed <= ifCached+saving/2:
		t.prefixes.trust.record(now, true, 1)
		p.memory.counts.Confirmed += int64(r.cached)
		return -discounted
	case elapsed <= ifCached+saving*3/2:
		if certainty := s.missCertainty(now, p, r); certainty >= minMissCertainty {
			t.prefixes.trust.record(now, false, certainty)
			p.memory.counts.Refuted += int64(r.cached)
			s.recordWrongPrediction(now, p, r)
		}
		return r.cached - discounted
	default:
		return 0
	}
}

// missCertainty returns the probability that no prompt of another host, which this one had not heard
// of at the dispatch, delayed the first event.
func (s *Scheduler) missCertainty(now time.Time, p *pool, r *runningRequest) float64 {
	unseen := s.unseenArrivals(now, p, r.request)
	return math.Exp(-unseen.perTarget * unseen.age)
}

// recordWrongPrediction records an event unless there was one a short time ago.
func (s *Scheduler) recordWrongPrediction(now time.Time, p *pool, r *runningRequest) {
	p.memory.wrong++
	if now.Sub(p.memory.eventAt) < prefixEventInterval {
		return
	}
	s.prefixEvents = append(s.prefixEvents, PrefixEvent{
		Target:     r.target.Name,
		Pool:       p.name,
		Tokens:     r.cached,
		FirstEvent: now.Sub(r.dispatchedAt),
		Trust:      r.target.prefixes.trust.value(now),
		Wrong:      p.memory.wrong,
	})
	p.memory.wrong, p.memory.eventAt = 0, now
}
