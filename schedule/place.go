package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// remotePenalty is what a target in another data centre costs, in seconds.
	remotePenalty = 0.003
	// aggregatedPenalty is what a target costs beside that, in seconds, if the hosts in
	// its data centre are only heard as a sum: news of it are older than theirs.
	aggregatedPenalty = 0.1
	// maxYield bounds how long free slots are left to other hosts' requests.
	maxYield = 15 * time.Millisecond
	// kvReserve is the part of the KV cache that is kept free for answers that
	// grow longer than expected.
	kvReserve = 0.08
	// maxSkipped bounds the requests that are passed over in one decision because
	// no usable target suits them.
	maxSkipped = 8
)

// dispatchQueued sends queued requests to free slots, in order.
func (s *Scheduler) dispatchQueued(now time.Time, p *pool, actions []Action) []Action {
	targets := p.usableTargets(now)
	free := freeSlots(now, targets)
	if free == 0 {
		// The others use what is left to them.
		p.yieldingSince = time.Time{}
	}
	passed := 0
	for i := 0; i < len(p.queue.items) && free > 0 && passed < maxSkipped; {
		w := p.queue.items[i]
		if free <= s.reservedSlots(now, p, w, targets) || s.yieldsToPeers(now, p, w, free) {
			break
		}
		t := s.selectTarget(now, p, w, targets)
		if t == nil {
			passed++
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
	// reserveRatio is the part of the slots that more urgent ranks take up on
	// average that is kept free for them, so that they need not wait for requests
	// that hold their slots for much longer.
	reserveRatio = 0.4
	// maxReserveRatio bounds what is kept free, as a part of all slots.
	maxReserveRatio = 0.25
	// longServiceFactor is how many times as long as the more urgent ones a request must
	// take before slots are kept free from it.
	longServiceFactor = 2.0
)

// reservedSlots returns how many slots are kept free for more urgent requests than w.
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

// urgentLoad returns the slots that more urgentLoad requests of all hosts take up on average,
// and their arrivals a second.
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

// yieldsToPeers says whether the free slots are left to other hosts, because their
// requests come first. Hosts that do not use them are not waited for long.
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

// peersTookSlots says whether other hosts have more on the targets than when it was
// asked last.
func (p *pool) peersTookSlots() bool {
	before := p.peersRunning
	p.peersRunning = 0
	for _, t := range p.targets {
		p.peersRunning += t.peers.Running
	}
	return p.peersRunning > before
}

// selectTarget returns the target with a free slot where the request costs least, or nil.
// Only targets are considered where its first event is predicted in time, and its
// end before its caller leaves, unless the latter is true of no target.
func (s *Scheduler) selectTarget(now time.Time, p *pool, w *queuedRequest, targets []*target) *target {
	r := w.request
	inTime := s.firstEventLimit(now, w)
	needsFast, anyEnds := p.needsFastTarget(now, r, targets)
	var best *target
	bestCost := 0.0
	for _, t := range targets {
		if !s.eligible(now, p, w, t) {
			continue
		}
		if p.engine != nil && t.busySlots(now) > 0 && p.firstEventTime(t, s.prefixes.uncached(now, r, t.Name)) > inTime {
			continue
		}
		if anyEnds && !p.finishesInTime(now, r, t) {
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

// eligible says whether a target may get the request at all.
func (s *Scheduler) eligible(now time.Time, p *pool, w *queuedRequest, t *target) bool {
	if t.freeSlots(now) <= 0 || excludes(w.request, t.Name) || !p.fitsKVCache(w.request, t) {
		return false
	}
	return !t.health.probation || p.mayProbe(now, w.request)
}

const (
	// fastSlotReserve is the number of slots of a fast target that are kept for answers
	// too long for the others.
	fastSlotReserve = 2
	// fastPenalty is what such a slot costs other requests, in seconds.
	fastPenalty = 0.3
	// fastIntervalRatio is the pace of a fast target, relative to the pool's mean.
	fastIntervalRatio = 0.7
	// outputMargin allows for answers that grow longer than expected.
	outputMargin = 1.5
)

// finishesInTime says whether an answer of the expected length finishesInTime in time on a target.
func (p *pool) finishesInTime(now time.Time, r *Request, t *target) bool {
	if p.engine == nil {
		return true
	}
	decode := seconds(float64(r.OutputTokens) * p.tokenTimeOf(t))
	return !now.Add(p.firstEventTime(t, r.PromptTokens) + decode).After(r.Deadline)
}

// needsFastTarget says whether the answer might be too long for a slow target, and whether
// any target is fast enough.
func (p *pool) needsFastTarget(now time.Time, r *Request, targets []*target) (needs, anyEnds bool) {
	if p.engine == nil {
		return false, false
	}
	for _, t := range targets {
		decode := seconds(outputMargin * float64(r.OutputTokens) * p.tokenTimeOf(t))
		if now.Add(decode).After(r.Deadline) {
			needs = true
		}
		anyEnds = anyEnds || p.finishesInTime(now, r, t)
	}
	return needs, anyEnds
}

func (p *pool) isFast(t *target) bool {
	pace := t.knownSpeeds().EventInterval
	return pace > 0 && pace < fastIntervalRatio*p.meanEventInterval()
}

// meanEventInterval returns the mean pace of the targets that were seen.
func (p *pool) meanEventInterval() float64 {
	sum, count := 0.0, 0.0
	for _, t := range p.targets {
		if pace := t.knownSpeeds().EventInterval; pace > 0 {
			sum += pace
			count++
		}
	}
	return sum / max(count, 1)
}

// lateFirstEventLimit is the longest predicted time to the first event with which a late
// request is sent to a target: the prompts before it would make others late too.
const lateFirstEventLimit = 300 * time.Millisecond

// firstEventLimit returns the time within which the first event has to come.
func (s *Scheduler) firstEventLimit(now time.Time, w *queuedRequest) time.Duration {
	if w.late {
		return lateFirstEventLimit
	}
	return w.request.Objective.Sub(now)
}

// fitsKVCache says whether the KV cache of the target has room for the request. One that
// fitsKVCache nowhere is sent to an idle target, which then decides.
func (p *pool) fitsKVCache(r *Request, t *target) bool {
	if p.engine == nil || p.engine.KVTokens == 0 {
		return true
	}
	used := t.kv + t.peers.KVTokens
	room := float64(p.engine.KVTokens) * (1 - kvReserve)
	return used == 0 || float64(used+r.PromptTokens+r.OutputTokens) <= room
}

// cost predicts what a request costs on a target, in seconds: the time that it
// takes there, and the time that its prompt takes from the requests beside it.
func (s *Scheduler) cost(now time.Time, p *pool, r *Request, t *target) float64 {
	cost := s.localityCost(t)
	if p.engine == nil {
		return cost + p.meanService*float64(t.busySlots(now))/float64(max(t.Slots, 1))
	}
	rate := p.prefillRateOf(t)
	prefill := float64(s.prefixes.uncached(now, r, t.Name)) / rate
	ahead := float64(t.prefill+t.peers.PrefillTokens) / rate
	decode := float64(r.OutputTokens) * p.tokenTimeOf(t)
	beside := float64(t.busySlots(now))
	return cost + ahead + prefill*(1+beside) + decode
}

// localityCost returns what a target costs for being elsewhere, in seconds.
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

// dispatch takes a slot for the request.
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

// recordPrefixLocation remembers where the prompt is computed, and tells the others of
// its last part, which names a session.
func (s *Scheduler) recordPrefixLocation(now time.Time, r *Request, target ident.Target) {
	if len(r.PromptBlocks) == 0 {
		return
	}
	for _, part := range r.PromptBlocks {
		s.prefixes.record(now, part.Hash, target)
	}
	last := r.PromptBlocks[len(r.PromptBlocks)-1]
	s.prefixLocations = append(s.prefixLocations, PrefixLocation{Hash: last.Hash, Target: target})
	if excess := len(s.prefixLocations) - maxPrefixLocations; excess > 0 {
		s.prefixLocations = slices.Delete(s.prefixLocations, 0, excess)
		s.prefixLocationsSent = max(s.prefixLocationsSent-excess, 0)
	}
}

// maxPrefixLocations bounds the placements that are told.
const maxPrefixLocations = 24

// takePrefixLocations returns the placements to tell, each twice, because a message may
// be lost.
func (s *Scheduler) takePrefixLocations() []PrefixLocation {
	told := slices.Clone(s.prefixLocations)
	s.prefixLocations = slices.Delete(s.prefixLocations, 0, s.prefixLocationsSent)
	s.prefixLocationsSent = len(s.prefixLocations)
	return told
}
