package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// distancePenalty is what a target in another data centre costs, in seconds.
	distancePenalty = 0.003
	// strangePenalty is what a target costs beside that, in seconds, if the hosts in
	// its data centre are only heard as a sum: news of it are older than theirs.
	strangePenalty = 0.1
	// yieldLimit bounds how long free slots are left to other hosts' requests.
	yieldLimit = 15 * time.Millisecond
	// kvReserve is the part of the KV cache that is kept free for answers that
	// grow longer than expected.
	kvReserve = 0.08
	// maxPassed bounds the requests that are passed over in one decision because
	// no usable target suits them.
	maxPassed = 8
)

// place sends queued requests to free slots, in order.
func (s *Scheduler) place(now time.Time, p *pool, actions []Action) []Action {
	targets := p.usable(now)
	free := freeSlots(now, targets)
	if free == 0 {
		// The others use what is left to them.
		p.yieldSince = time.Time{}
	}
	passed := 0
	for i := 0; i < len(p.queue.items) && free > 0 && passed < maxPassed; {
		w := p.queue.items[i]
		if free <= s.reserve(now, p, w, targets) || s.yields(now, p, w, free) {
			break
		}
		t := s.choose(now, p, w, targets)
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
	// reserveShare is the part of the slots that more urgent ranks take up on
	// average that is kept free for them, so that they need not wait for requests
	// that hold their slots for much longer.
	reserveShare = 0.4
	// maxReserve bounds what is kept free, as a part of all slots.
	maxReserve = 0.25
	// longService is how many times as long as the more urgent ones a request must
	// take before slots are kept free from it.
	longService = 2.0
)

// reserve returns how many slots are kept free for more urgent requests than w.
func (s *Scheduler) reserve(now time.Time, p *pool, w *waiting, targets []*target) int {
	if p.engine == nil {
		return 0
	}
	taken, arrivals := p.urgent(now, w)
	if arrivals == 0 || p.serviceOf(now, w.request.Rank) < longService*taken/arrivals {
		return 0
	}
	return int(min(reserveShare*taken, maxReserve*float64(slots(targets))))
}

// urgent returns the slots that more urgent requests of all hosts take up on average,
// and their arrivals a second.
func (p *pool) urgent(now time.Time, w *waiting) (taken, arrivals float64) {
	for rank, d := range p.demands {
		if w.late || rank.Compare(w.request.Rank) < 0 {
			taken += d.slots(now)
			arrivals += d.rate(now)
		}
	}
	for rank, d := range p.others {
		if w.late || rank.Compare(w.request.Rank) < 0 {
			taken += d.slots
			arrivals += d.rate
		}
	}
	return taken, arrivals
}

// yields says whether the free slots are left to other hosts, because their
// requests come first. Hosts that do not use them are not waited for long.
func (s *Scheduler) yields(now time.Time, p *pool, w *waiting, free int) bool {
	if s.peersAhead(now, p.name, w) < free {
		p.yieldSince = time.Time{}
		return false
	}
	if p.yieldSince.IsZero() || p.othersTookSlots() {
		p.yieldSince = now
	}
	return now.Sub(p.yieldSince) < yieldLimit
}

// othersTookSlots says whether other hosts have more on the targets than when it was
// asked last.
func (p *pool) othersTookSlots() bool {
	before := p.othersRunning
	p.othersRunning = 0
	for _, t := range p.targets {
		p.othersRunning += t.others.Running
	}
	return p.othersRunning > before
}

// choose returns the target with a free slot where the request costs least, or nil.
// Only targets are considered where its first event is predicted in time, and its
// end before its caller leaves, unless the latter is true of no target.
func (s *Scheduler) choose(now time.Time, p *pool, w *waiting, targets []*target) *target {
	r := w.request
	inTime := s.firstEventLimit(now, w)
	needsFast, anyEnds := p.needsFast(now, r, targets)
	var best *target
	bestCost := 0.0
	for _, t := range targets {
		if !s.suits(now, p, w, t) {
			continue
		}
		if p.engine != nil && t.busy(now) > 0 && p.firstEventOn(t, s.prefixes.uncached(now, r, t.Name)) > inTime {
			continue
		}
		if anyEnds && !p.ends(now, r, t) {
			continue
		}
		cost := s.cost(now, p, r, t)
		if !needsFast && p.isFast(t) && t.free(now) <= fastReserve {
			cost += fastPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// suits says whether a target may get the request at all.
func (s *Scheduler) suits(now time.Time, p *pool, w *waiting, t *target) bool {
	if t.free(now) <= 0 || avoids(w.request, t.Name) || !p.fits(w.request, t) {
		return false
	}
	return !t.health.probation || p.mayProbe(now, w.request)
}

const (
	// fastReserve is the number of slots of a fast target that are kept for answers
	// too long for the others.
	fastReserve = 2
	// fastPenalty is what such a slot costs other requests, in seconds.
	fastPenalty = 0.3
	// fastPace is the pace of a fast target, relative to the pool's mean.
	fastPace = 0.7
	// lengthMargin allows for answers that grow longer than expected.
	lengthMargin = 1.5
)

// ends says whether an answer of the expected length ends in time on a target.
func (p *pool) ends(now time.Time, r *Request, t *target) bool {
	if p.engine == nil {
		return true
	}
	decode := seconds(float64(r.OutputTokens) * p.tokenTimeOf(t))
	return !now.Add(p.firstEventOn(t, r.PromptTokens) + decode).After(r.Deadline)
}

// needsFast says whether the answer might be too long for a slow target, and whether
// any target is fast enough.
func (p *pool) needsFast(now time.Time, r *Request, targets []*target) (needs, anyEnds bool) {
	if p.engine == nil {
		return false, false
	}
	for _, t := range targets {
		decode := seconds(lengthMargin * float64(r.OutputTokens) * p.tokenTimeOf(t))
		if now.Add(decode).After(r.Deadline) {
			needs = true
		}
		anyEnds = anyEnds || p.ends(now, r, t)
	}
	return needs, anyEnds
}

func (p *pool) isFast(t *target) bool {
	pace := t.seen().EventInterval
	return pace > 0 && pace < fastPace*p.meanPace()
}

// meanPace returns the mean pace of the targets that were seen.
func (p *pool) meanPace() float64 {
	sum, count := 0.0, 0.0
	for _, t := range p.targets {
		if pace := t.seen().EventInterval; pace > 0 {
			sum += pace
			count++
		}
	}
	return sum / max(count, 1)
}

// lateFirstEvent is the longest predicted time to the first event with which a late
// request is sent to a target: the prompts before it would make others late too.
const lateFirstEvent = 300 * time.Millisecond

// firstEventLimit returns the time within which the first event has to come.
func (s *Scheduler) firstEventLimit(now time.Time, w *waiting) time.Duration {
	if w.late {
		return lateFirstEvent
	}
	return w.request.Objective.Sub(now)
}

// fits says whether the KV cache of the target has room for the request. One that
// fits nowhere is sent to an idle target, which then decides.
func (p *pool) fits(r *Request, t *target) bool {
	if p.engine == nil || p.engine.KVCacheTokens == 0 {
		return true
	}
	used := t.kv + t.others.KVTokens
	room := float64(p.engine.KVCacheTokens) * (1 - kvReserve)
	return used == 0 || float64(used+r.PromptTokens+r.OutputTokens) <= room
}

// cost predicts what a request costs on a target, in seconds: the time that it
// takes there, and the time that its prompt takes from the requests beside it.
func (s *Scheduler) cost(now time.Time, p *pool, r *Request, t *target) float64 {
	cost := s.distance(t)
	if p.engine == nil {
		return cost + p.service*float64(t.busy(now))/float64(max(t.Slots, 1))
	}
	rate := p.prefillRateOf(t)
	prefill := float64(s.prefixes.uncached(now, r, t.Name)) / rate
	ahead := float64(t.prefill+t.others.PrefillTokens) / rate
	decode := float64(r.OutputTokens) * p.tokenTimeOf(t)
	beside := float64(t.busy(now))
	return cost + ahead + prefill*(1+beside) + decode
}

// distance returns what a target costs for being elsewhere, in seconds.
func (s *Scheduler) distance(t *target) float64 {
	switch {
	case t.DataCentre == s.dataCentre:
		return 0
	case s.regions[t.DataCentre] != nil:
		return distancePenalty + strangePenalty
	default:
		return distancePenalty
	}
}

// dispatch takes a slot for the request.
func (s *Scheduler) dispatch(now time.Time, p *pool, w *waiting, t *target) Action {
	r := w.request
	inputs := s.inputs(now, p, w)
	prefill := 0
	if p.engine != nil {
		prefill = s.prefixes.uncached(now, r, t.Name)
	}
	run := &running{
		request: r,
		target:  t,
		since:   now,
		prefill: prefill,
		ahead:   t.prefill + t.others.PrefillTokens + prefill,
		kv:      r.PromptTokens + r.OutputTokens,
	}
	t.running++
	t.prefill += run.prefill
	t.kv += run.kv
	t.health.dispatched()
	s.running[r.ID] = run
	delete(s.queued, r.ID)
	s.notePlacement(now, r, t.Name)
	p.yieldSince = time.Time{}
	return &Dispatch{Request: r.ID, Target: t.Target, QueueTime: now.Sub(r.Arrived), Inputs: inputs}
}

// notePlacement remembers where the prompt is computed, and tells the others of
// its last part, which names a session.
func (s *Scheduler) notePlacement(now time.Time, r *Request, target ident.Target) {
	if len(r.PromptBlocks) == 0 {
		return
	}
	for _, part := range r.PromptBlocks {
		s.prefixes.note(now, part.Hash, target)
	}
	last := r.PromptBlocks[len(r.PromptBlocks)-1]
	s.placements = append(s.placements, PrefixLocation{Hash: last.Hash, Target: target})
	if excess := len(s.placements) - maxPlacements; excess > 0 {
		s.placements = slices.Delete(s.placements, 0, excess)
		s.placementsTold = max(s.placementsTold-excess, 0)
	}
}

// maxPlacements bounds the placements that are told.
const maxPlacements = 24

// takePlacements returns the placements to tell, each twice, because a message may
// be lost.
func (s *Scheduler) takePlacements() []PrefixLocation {
	told := slices.Clone(s.placements)
	s.placements = slices.Delete(s.placements, 0, s.placementsTold)
	s.placementsTold = len(s.placements)
	return told
}
