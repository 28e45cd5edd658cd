package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// minPrefillSample is the least number of prompt tokens for which the time to the
	// first event is a useful sample of the prefill rate.
	minPrefillSample = 500
	// minIntervalEvents is the least number of events of a stream for which the mean time
	// between them is a useful sample.
	minIntervalEvents = 4
	// defaultTokensPerEvent applies if the configuration sets no value.
	defaultTokensPerEvent = 1
)

// RecordFirstEvent records that the first event of a stream has arrived.
func (s *Scheduler) RecordFirstEvent(now time.Time, id ident.Request) {
	r := s.running[id]
	if r == nil || !r.firstEventAt.IsZero() {
		return
	}
	r.firstEventAt = now
	r.target.lastResponseAt = now
	p := s.pools[r.target.Pool]
	if s.ratedHosts() && !r.late && now.After(r.request.Objective) && p.control.load > pressedLoad {
		p.shares.recordShortage(now)
	}
	elapsed := now.Sub(r.dispatchedAt) - firstEventOverhead
	r.prefillAhead += s.checkPrefix(now, p, r, elapsed)
	r.target.prefill -= r.prefill
	r.prefill = 0
	if r.prefillAhead >= minPrefillSample && elapsed > 0 {
		rate := float64(r.prefillAhead) / elapsed.Seconds()
		p.learnPrefillRate(now, r, rate)
	}
}

// RecordProgress records that events of a stream have arrived.
func (s *Scheduler) RecordProgress(now time.Time, id ident.Request, events int) {
	r := s.running[id]
	if r == nil {
		return
	}
	r.events += events
	r.machine.add(now, r.target.machine, events)
	r.lastEventAt = now
	r.target.lastResponseAt = now
}

// ReportLoad records the load that a target reported with a response.
func (s *Scheduler) ReportLoad(now time.Time, id ident.Request, load int) {
	if r := s.running[id]; r != nil {
		r.target.lastResponseAt = now
		r.reportedLoad = load
		r.target.recordReportedLoad(now, load)
	}
}

// Finish frees the slot of a request and updates the health and the estimates of its
// target. It has no effect on a request that has already finished.
func (s *Scheduler) Finish(now time.Time, id ident.Request, result Result) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	t := r.target
	t.running--
	if r.suspect {
		t.suspects--
	}
	t.prefill -= r.prefill
	t.kv -= r.kv
	s.pools[t.Pool].recordEvidence(now, r, result)
	before := t.health
	t.health.recordResult(now, result)
	if result == Rejected && t.isBrittle(now) {
		t.pausedUntil = now.Add(brittlePause)
	}
	switch result {
	case Unreachable:
		s.pools[t.Pool].unreachableAt = now
	case Broken:
		t.brokenAt = now
	default:
	}
	s.recordHealthChange(t, before, result.String())
	if result != Served && result != Abandoned {
		s.observationsUrgent = true
	}
	if result == Served || result == Failed || result == Rejected {
		t.lastResponseAt = now
		t.connections.release(now)
	}
	if result == Unreachable {
		t.lostAt = now
	}
	if result == Served {
		s.updateEstimates(now, r)
		s.recordServed(now, r.request, t.Name)
	}
	if !t.announced && t.running == 0 {
		s.removeTarget(t)
	}
}

// updateEstimates updates the estimates of the pool and the target with a request that
// was served.
func (s *Scheduler) updateEstimates(now time.Time, r *runningRequest) {
	p := s.pools[r.target.Pool]
	elapsed := now.Sub(r.dispatchedAt).Seconds()
	updateEWMA(&p.meanService, elapsed, poolSampleWeight)
	p.demandOf(r.request.Rank).recordServiceTime(elapsed)
	p.recordResponseTime(now, r)
	if s.ratedHosts() {
		s.learnSlotTime(now, p, r)
	}
	if r.events < minIntervalEvents || r.firstEventAt.IsZero() {
		return
	}
	interval := r.lastEventAt.Sub(r.firstEventAt).Seconds() / float64(r.events-1)
	if interval <= 0 {
		return
	}
	p.learnEventInterval(now, r, interval)
}

func (p *pool) tokensPerEvent() float64 {
	if p.engine == nil || p.engine.TokensPerEvent <= 0 {
		return defaultTokensPerEvent
	}
	return float64(p.engine.TokensPerEvent)
}
