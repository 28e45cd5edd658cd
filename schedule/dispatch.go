package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// remotePenalty is the cost, in seconds, of using a target in another data centre.
	remotePenalty = 0.003
	// aggregatedPenalty is the additional cost, in seconds, if the hosts of that data
	// centre are only known in aggregate: this host knows an older state of those targets
	// than they do.
	aggregatedPenalty = 0.1
	// maxYield bounds how long free slots are left to requests of other hosts.
	maxYield = 15 * time.Millisecond
	// kvReserve is the fraction of the KV cache that is kept free for responses that turn
	// out longer than expected.
	kvReserve = 0.08
	// maxSkipped bounds the requests that are skipped in one decision because no usable
	// target is eligible.
	maxSkipped = 8
)

// dispatchQueued dispatches queued requests to free slots, in queue order.
func (s *Scheduler) dispatchQueued(now time.Time, p *pool, actions []Action) []Action {
	targets := p.usableTargets(now)
	free := freeSlots(now, targets)
	if free == 0 {
		// The other hosts have taken the slots that were left to them.
		p.yieldingSince = time.Time{}
	}
	skipped := 0
	for i := 0; i < len(p.queue.items) && free > 0 && skipped < maxSkipped; {
		w := p.queue.items[i]
		if free <= s.reservedSlots(now, p, w, targets) || s.yieldsToPeers(now, p, w, free) {
			break
		}
		t := s.selectTarget(now, p, w, targets)
		if t == nil {
			skipped++
			i++
			continue
		}
		p.queue.items = slices.Delete(p.queue.items, i, i+1)
		actions = append(actions, s.dispatch(now, p, w, t))
		free--
		if t.health.probation {
			targets = slices.DeleteFunc(targets, func(other *target) bool { return other == t })
			free = freeSlots(now, targets)
		}
	}
	return actions
}

const (
	// reserveRatio is the ratio of the slots kept free for more urgent ranks to those
	// that they occupy on average. It saves them from waiting for requests that hold
	// their slots for much longer.
	reserveRatio = 0.4
	// maxReserveRatio bounds the reserved slots, as a fraction of all slots.
	maxReserveRatio = 0.25
	// longServiceFactor is how many times the mean service time of the more urgent
	// requests a request must take before slots are reserved from it.
	longServiceFactor = 2.0
)

// reservedSlots returns how many slots are kept free for requests more urgent than w.
func (s *Scheduler) reservedSlots(now time.Time, p *pool, w *queuedRequest, targets []*target) int {
	if p.engine == nil {
		return 0
	}
	taken, arrivals := p.urgentLoad(now, w)
	if arrivals == 0 || p.meanServiceOf(now, w.request.Rank) < longServiceFactor*taken/arrivals {
		return 0
	}
	return int(min(reserveRatio*taken, maxReserveRatio*float64(totalSlots(targets))))
}

// urgentLoad returns the average number of slots that more urgent requests of all
// hosts occupy, and their arrivals per second.
func (p *pool) urgentLoad(now time.Time, w *queuedRequest) (taken, arrivals float64) {
	for rank, d := range p.demands {
		if w.late || rank.Compare(w.request.Rank) < 0 {
			taken += d.meanSlots(now)
			arrivals += d.rate(now)
		}
	}
	for rank, d := range p.peerDemands {
		if w.late || rank.Compare(w.request.Rank) < 0 {
			taken += d.slots
			arrivals += d.rate
		}
	}
	return taken, arrivals
}

// yieldsToPeers reports whether the free slots are left to other hosts because their
// requests come first. It stops yielding after maxYield if they take none.
func (s *Scheduler) yieldsToPeers(now time.Time, p *pool, w *queuedRequest, free int) bool {
	if s.peersAhead(now, p.name, w) < free {
		p.yieldingSince = time.Time{}
		return false
	}
	if p.yieldingSince.IsZero() || p.peersTookSlots() {
		p.yieldingSince = now
	}
	return now.Sub(p.yieldingSince) < maxYield
}

// peersTookSlots reports whether the other hosts run more requests on the targets than
// at the previous call.
func (p *pool) peersTookSlots() bool {
	before := p.peersRunning
	p.peersRunning = 0
	for _, t := range p.targets {
		p.peersRunning += t.peers.Running
	}
	return p.peersRunning > before
}

// selectTarget returns the eligible target with the lowest cost, or nil. It skips busy
// targets on which the first event is predicted to be late and, if any target can
// finish before the deadline, those that cannot.
func (s *Scheduler) selectTarget(now time.Time, p *pool, w *queuedRequest, targets []*target) *target {
	r := w.request
	limit := s.firstEventLimit(now, w)
	needsFast, anyFinishes := p.needsFastTarget(now, r, targets)
	var best *target
	bestCost := 0.0
	for _, t := range targets {
		if !s.eligible(now, p, w, t) {
			continue
		}
		if p.engine != nil && t.busySlots(now) > 0 && p.firstEventTime(t, s.prefixes.uncached(now, r, t.Name)) > limit {
			continue
		}
		if anyFinishes && !p.finishesInTime(now, r, t) {
			continue
		}
		cost := s.cost(now, p, r, t)
		if !needsFast && p.isFast(t) && t.freeSlots(now) <= fastSlotReserve {
			cost += fastPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// eligible reports whether a target may get the request at all.
func (s *Scheduler) eligible(now time.Time, p *pool, w *queuedRequest, t *target) bool {
	if t.freeSlots(now) <= 0 || excludes(w.request, t.Name) || !p.fitsKVCache(w.request, t) {
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
func (p *pool) finishesInTime(now time.Time, r *Request, t *target) bool {
	if p.engine == nil {
		return true
	}
	decode := seconds(float64(r.OutputTokens) * p.tokenTimeOf(t))
	return !now.Add(p.firstEventTime(t, r.PromptTokens) + decode).After(r.Deadline)
}

// needsFastTarget reports whether the response may be too long for some of the targets,
// and whether any target is predicted to finish it before the deadline.
func (p *pool) needsFastTarget(now time.Time, r *Request, targets []*target) (needs, anyFinishes bool) {
	if p.engine == nil {
		return false, false
	}
	for _, t := range targets {
		decode := seconds(outputMargin * float64(r.OutputTokens) * p.tokenTimeOf(t))
		if now.Add(decode).After(r.Deadline) {
			needs = true
		}
		anyFinishes = anyFinishes || p.finishesInTime(now, r, t)
	}
	return needs, anyFinishes
}

func (p *pool) isFast(t *target) bool {
	interval := t.knownSpeeds().EventInterval
	return interval > 0 && interval < fastIntervalRatio*p.meanEventInterval()
}

// meanEventInterval returns the mean event interval of the targets for which one is
// known.
func (p *pool) meanEventInterval() float64 {
	sum, count := 0.0, 0.0
	for _, t := range p.targets {
		if interval := t.knownSpeeds().EventInterval; interval > 0 {
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

// fitsKVCache reports whether the KV cache of the target has room for the request. A
// request that is too large for any target is sent to an idle one, which may reject it.
func (p *pool) fitsKVCache(r *Request, t *target) bool {
	if p.engine == nil || p.engine.KVCacheTokens == 0 {
		return true
	}
	used := t.kv + t.peers.KVTokens
	room := float64(p.engine.KVCacheTokens) * (1 - kvReserve)
	return used == 0 || float64(used+r.PromptTokens+r.OutputTokens) <= room
}

// cost predicts the cost of a request on a target, in seconds: the time that it takes
// there, and the delay that its prompt causes to the requests running beside it.
func (s *Scheduler) cost(now time.Time, p *pool, r *Request, t *target) float64 {
	cost := s.localityCost(t)
	if p.engine == nil {
		return cost + p.meanService*float64(t.busySlots(now))/float64(max(t.Slots, 1))
	}
	rate := p.prefillRateOf(t)
	prefill := float64(s.prefixes.uncached(now, r, t.Name)) / rate
	ahead := float64(t.prefill+t.peers.PrefillTokens) / rate
	decode := float64(r.OutputTokens) * p.tokenTimeOf(t)
	concurrent := float64(t.busySlots(now))
	return cost + ahead + prefill*(1+concurrent) + decode
}

// localityCost returns the cost of the target's data centre, in seconds.
func (s *Scheduler) localityCost(t *target) float64 {
	switch {
	case t.DataCentre == s.dataCentre:
		return 0
	case s.dcAggregates[t.DataCentre] != nil:
		return remotePenalty + aggregatedPenalty
	default:
		return remotePenalty
	}
}

// dispatch takes a slot of the target for the request.
func (s *Scheduler) dispatch(now time.Time, p *pool, w *queuedRequest, t *target) Action {
	r := w.request
	inputs := s.inputs(now, p, w)
	prefill := 0
	if p.engine != nil {
		prefill = s.prefixes.uncached(now, r, t.Name)
	}
	run := &runningRequest{
		request:      r,
		target:       t,
		dispatchedAt: now,
		prefill:      prefill,
		prefillAhead: t.prefill + t.peers.PrefillTokens + prefill,
		kv:           r.PromptTokens + r.OutputTokens,
	}
	t.running++
	t.prefill += run.prefill
	t.kv += run.kv
	t.health.recordDispatch()
	s.running[r.ID] = run
	delete(s.queued, r.ID)
	s.recordPrefixLocation(now, r, t.Name)
	p.yieldingSince = time.Time{}
	return &Dispatch{Request: r.ID, Target: t.Target, QueueTime: now.Sub(r.Arrived), Inputs: inputs}
}

// recordPrefixLocation records on which target the prompt is processed, and queues the
// location of its last block, which identifies a session, for the other hosts.
func (s *Scheduler) recordPrefixLocation(now time.Time, r *Request, target ident.Target) {
	if len(r.PromptBlocks) == 0 {
		return
	}
	for _, block := range r.PromptBlocks {
		s.prefixes.record(now, block.Hash, target)
	}
	last := r.PromptBlocks[len(r.PromptBlocks)-1]
	s.prefixLocations = append(s.prefixLocations, PrefixLocation{Hash: last.Hash, Target: target})
	if excess := len(s.prefixLocations) - maxPrefixLocations; excess > 0 {
		s.prefixLocations = slices.Delete(s.prefixLocations, 0, excess)
		s.prefixLocationsSent = max(s.prefixLocationsSent-excess, 0)
	}
}

// maxPrefixLocations bounds the prefix locations that are waiting to be sent.
const maxPrefixLocations = 24

// takePrefixLocations returns the prefix locations to send. Each is returned twice,
// because a message may be lost.
func (s *Scheduler) takePrefixLocations() []PrefixLocation {
	locations := slices.Clone(s.prefixLocations)
	s.prefixLocations = slices.Delete(s.prefixLocations, 0, s.prefixLocationsSent)
	s.prefixLocationsSent = len(s.prefixLocations)
	return locations
}
