package schedule

import (
	"slices"
	"time"
)

const (
	// maxYield bounds how long free slots are left to requests of other hosts.
	maxYield = 15 * time.Millisecond
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
		if a := s.dispatchBesideHeld(now, p, targets); a != nil {
			actions = append(actions, a)
		}
	}
	skipped := 0
	for i := 0; i < len(p.queue.items) && skipped < maxSkipped; {
		w := p.queue.items[i]
		if s.isLeftForOthers(now, p, w) {
			break
		}
		if !w.request.RequiresVersion && free <= s.reservedSlots(now, p, w, targets) || free > 0 && s.yieldsToPeers(now, p, w, free) {
			break
		}
		t := s.selectOfVersion(now, p, w, targets)
		if t == nil {
			s.recordMemoryWait(now, p, w)
			skipped++
			i++
			continue
		}
		p.queue.items = slices.Delete(p.queue.items, i, i+1)
		actions = append(actions, s.dispatch(now, p, w, t))
		free = max(free-1, 0)
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
	return int(min(reserveRatio*taken, maxReserveRatio*p.capacity(now, targets)))
}

// urgentLoad returns the average number of slots that more urgent requests of all
// hosts occupy, and their arrivals per second.
func (p *pool) urgentLoad(now time.Time, w *queuedRequest) (taken, arrivals float64) {
	for _, e := range p.demands.entries {
		if w.late || e.rank.Compare(w.request.Rank) < 0 {
			taken += e.value.meanSlots(now)
			arrivals += e.value.rate(now)
		}
	}
	for _, e := range p.peerDemands.entries {
		if w.late || e.rank.Compare(w.request.Rank) < 0 {
			taken += e.value.slots
			arrivals += e.value.rate
		}
	}
	return taken, arrivals
}

// yieldsToPeers reports whether the free slots are left to other hosts because their
// requests come first. It stops yielding after maxYield if they take none.
func (s *Scheduler) yieldsToPeers(now time.Time, p *pool, w *queuedRequest, free int) bool {
	if s.admitsByRate(now, p) || s.peersAhead(now, p.name, w) < free {
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

// dispatch takes a slot of the target for the request.
func (s *Scheduler) dispatch(now time.Time, p *pool, w *queuedRequest, t *target) Action {
	r := w.request
	inputs := s.inputs(now, p, w)
	prefill, cached := 0, 0
	if p.engine != nil {
		prefill, cached = s.uncached(now, p, r, t), s.predictedCached(now, p, r, t)
	}
	run := &runningRequest{
		request:      r,
		late:         w.late,
		target:       t,
		dispatchedAt: now,
		prefill:      prefill,
		cached:       cached,
		prefillAhead: t.prefill + t.peers.PrefillTokens + prefill,
		kv:           r.memoryTokens(),
		startUnixMs:  t.StartUnixMs,
		suspect:      s.crashes.IsSuspect(now, r.Content),
	}
	if p.shares.scarce(now) {
		p.shares.accounts.Charge(now, shareKey(r), p.slotTime(r, prefill))
	}
	s.recordTurn(now, p, r, t)
	t.running++
	t.connections.take(now, s.connectionIdleTime)
	if t.limited() {
		t.pacer.RecordSent(now)
	}
	if run.suspect {
		t.suspects++
	}
	t.prefill += run.prefill
	t.kv += run.kv
	t.health.recordDispatch()
	s.running[r.ID] = run
	p.recordDispatched(run)
	delete(s.queued, r.ID)
	s.recordPrefixLocation(now, r, t.Name)
	p.yieldingSince = time.Time{}
	return &Dispatch{
		Request:       r.ID,
		Target:        t.Target,
		VersionUnsure: t.mayHaveRestarted(),
		QueueTime:     now.Sub(r.Arrived),
		CachedTokens:  run.cached,
		Inputs:        inputs,
	}
}
