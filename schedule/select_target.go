package schedule

import (
	"time"
)

const (
	// costSpread is the random addition to a cost, relative to it, while the states of other hosts
	// are too old to know which slots are free. Otherwise all hosts would select the same target.
	costSpread = 1.0
	// limitedBonus is the advantage, in seconds, of a target with a limit that may get a
	// request now. Otherwise it would get nothing while others are idle.
	limitedBonus = 0.01
	// suspectPenalty is the cost, in seconds, of each request that runs beside content that
	// may crash the target.
	suspectPenalty = 1.0
	// doubtPenalty is the cost, in seconds, of beginning a resumable stream at a target that may
	// run another version than its entry says.
	doubtPenalty = 0.3
	// kvReserve is the fraction of the KV cache that is kept free for responses that turn
	// out longer than expected.
	kvReserve = 0.08
)

// selectTarget returns the eligible target with the lowest cost, or nil. It skips busy
// targets on which the first event is predicted to be late and, if any target can
// finish before the deadline, those that cannot.
func (s *Scheduler) selectTarget(now time.Time, p *pool, w *queuedRequest, targets []*target) *target {
	r := w.request
	limit := s.firstEventLimit(now, w)
	needsFast, anyFinishes := s.needsFastTarget(now, p, r, targets)
	suspect := s.crashes.IsSuspect(now, r.Content)
	meanInterval := p.meanEventInterval(now)
	unseen := s.unseenArrivals(now, p, r)
	// Where prefixes are weighed, the unseen arrivals already spread the requests.
	spread := s.admitsByRate(now, p) && !p.weighsPrefixes(r)
	var best *target
	bestCost := 0.0
	for _, t := range targets {
		if !s.eligible(now, p, w, t) || suspect && t.suspects > 0 {
			continue
		}
		if p.engine != nil && t.busySlots(now) > 0 && p.firstEventTime(now, t, s.uncached(now, p, r, t)) > limit {
			continue
		}
		if anyFinishes && !s.finishesInTime(now, p, r, t) {
			continue
		}
		cost := s.cost(now, p, r, t) + s.prefixCost(now, p, r, t, unseen)
		if p.engine == nil && s.connectionIdleTime > 0 && !t.connections.hasIdle(now, s.connectionIdleTime) {
			cost += newConnectionCost
		}
		if t.limited() {
			cost -= limitedBonus
		}
		if r.Resumable && t.mayHaveRestarted() {
			cost += doubtPenalty
		}
		if suspect {
			cost += suspectPenalty * float64(t.busySlots(now))
		}
		if !needsFast && t.isFast(now, meanInterval) && t.freeSlots(now) <= fastSlotReserve {
			cost += fastPenalty
		}
		if spread && s.isKnownLate(t) {
			cost *= 1 + costSpread*s.random()
		}
		cost += t.queueCost(now)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// eligible reports whether a target may get the request at all.
func (s *Scheduler) eligible(now time.Time, p *pool, w *queuedRequest, t *target) bool {
	if t.freeSlots(now) <= 0 || excludes(w.request, t.Name) || !w.request.mayServe(now, t) {
		return false
	}
	if !s.fitsMemory(now, p, w, t) {
		w.lacksMemory = true
		return false
	}
	return !t.health.probation || p.mayProbe(now, w.request)
}

const (
	// fastSlotReserve is the number of slots of a fast target that are reserved for
	// responses too long for the other targets.
	fastSlotReserve = 2
	// fastPenalty is the cost, in seconds, of a reserved slot to other requests.
	fastPenalty = 0.3
	// fastIntervalRatio is the largest event interval of a fast target, relative to the
	// mean of the pool.
	fastIntervalRatio = 0.7
	// outputMargin is a safety factor for responses that turn out longer than expected.
	outputMargin = 1.5
)

// finishesInTime reports whether a response of the expected length is predicted to end
// before the deadline on a target.
func (s *Scheduler) finishesInTime(now time.Time, p *pool, r *Request, t *target) bool {
	if p.engine == nil {
		return true
	}
	uncached := r.PromptTokens
	if p.knowsMemory() {
		uncached = s.uncached(now, p, r, t)
	}
	return !now.Add(p.firstEventTime(now, t, uncached) + p.decodeTime(now, t, float64(r.OutputTokens))).After(r.Deadline)
}

// decodeTime predicts the time that a target takes for the output after the first event.
func (p *pool) decodeTime(now time.Time, t *target, tokens float64) time.Duration {
	work := tokens * p.tokenTimeOf(now, t)
	return seconds(work + t.machine.delay(now, work))
}

// needsFastTarget reports whether the response may be too long for some of the targets,
// and whether any target is predicted to finish it before the deadline.
func (s *Scheduler) needsFastTarget(now time.Time, p *pool, r *Request, targets []*target) (needs, anyFinishes bool) {
	if p.engine == nil {
		return false, false
	}
	for _, t := range targets {
		decode := p.decodeTime(now, t, outputMargin*float64(r.OutputTokens))
		if now.Add(decode).After(r.Deadline) {
			needs = true
		}
		anyFinishes = anyFinishes || s.finishesInTime(now, p, r, t)
	}
	return needs, anyFinishes
}

// isFast reports whether the target is fast, given the mean event interval of its pool.
func (t *target) isFast(now time.Time, meanInterval float64) bool {
	interval := t.knownSpeeds(now).EventInterval
	return interval > 0 && interval < fastIntervalRatio*meanInterval
}

// meanEventInterval returns the mean event interval of the targets for which one is
// known.
func (p *pool) meanEventInterval(now time.Time) float64 {
	sum, count := 0.0, 0.0
	for _, t := range p.targets {
		if interval := t.knownSpeeds(now).EventInterval; interval > 0 {
			sum += interval
			count++
		}
	}
	return sum / max(count, 1)
}

// lateFirstEventLimit bounds the predicted time to the first event of a late request.
// On a target with more prompts ahead, it would make other requests late too.
const lateFirstEventLimit = 300 * time.Millisecond

// firstEventLimit returns the time within which the first event must arrive.
func (s *Scheduler) firstEventLimit(now time.Time, w *queuedRequest) time.Duration {
	if w.late {
		return lateFirstEventLimit
	}
	return w.request.Objective.Sub(now)
}

// cost predicts the cost of a request on a target, in seconds: the time that it takes
// there, and the delay that its prompt causes to the requests running beside it.
func (s *Scheduler) cost(now time.Time, p *pool, r *Request, t *target) float64 {
	cost := s.localityCost(now, p, t)
	if p.engine == nil {
		ahead := p.meanService * float64(t.busySlots(now)) / float64(max(t.Slots, 1))
		return cost + ahead + t.machine.delay(now, ahead+p.meanService)
	}
	rate := p.prefillRateOf(now, t)
	prefill := float64(s.uncached(now, p, r, t)) / rate
	ahead := float64(t.prefill+t.peers.PrefillTokens) / rate
	decode := float64(r.OutputTokens) * p.tokenTimeOf(now, t)
	concurrent := float64(t.busySlots(now))
	delay := t.machine.delay(now, ahead+prefill+decode) + concurrent*t.machine.delay(now, prefill)
	return cost + ahead + prefill*(1+concurrent) + decode + delay
}
