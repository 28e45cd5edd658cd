package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// minPrefillSample is the least prompt work whose time says something of the
	// rate of prefill.
	minPrefillSample = 500
	// minPaceEvents is the least number of events whose time says something of
	// a target's pace.
	minPaceEvents = 4
	// assumedTokensPerEvent stands in where the configuration does not tell.
	assumedTokensPerEvent = 1
)

// RecordFirstEvent notes that the first event of a stream has arrived.
func (s *Scheduler) RecordFirstEvent(now time.Time, id ident.Request) {
	r := s.running[id]
	if r == nil || !r.firstAt.IsZero() {
		return
	}
	r.firstAt = now
	r.target.heard = now
	r.target.prefill -= r.prefill
	r.prefill = 0
	p := s.pools[r.target.Pool]
	took := now.Sub(r.since) - firstEventOverhead
	if r.ahead >= minPrefillSample && took > 0 {
		rate := float64(r.ahead) / took.Seconds()
		observe(&r.target.speeds.PrefillRate, rate)
		blend(&p.prefillRate, rate, serviceMemory)
	}
}

// RecordProgress notes that events of a stream have arrived.
func (s *Scheduler) RecordProgress(now time.Time, id ident.Request, events int) {
	r := s.running[id]
	if r == nil {
		return
	}
	r.events += events
	r.lastAt = now
	r.target.heard = now
}

// ReportLoad takes in the load that a target told with an answer.
func (s *Scheduler) ReportLoad(now time.Time, id ident.Request, load int) {
	if r := s.running[id]; r != nil {
		r.target.heard = now
		r.target.reported(now, load)
	}
}

// Finish frees the slot of a request and learns from how it went.
func (s *Scheduler) Finish(now time.Time, id ident.Request, result Result) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	t := r.target
	t.running--
	t.prefill -= r.prefill
	t.kv -= r.kv
	before := t.health
	t.health.ended(now, result)
	s.note(t, before, result.String())
	if result != Served && result != Abandoned {
		s.observeSoon = true
	}
	if result == Served || result == Failed || result == Rejected {
		t.heard = now
	}
	if result == Served {
		s.learn(now, r)
	}
	if !t.declared && t.running == 0 {
		s.dropTarget(t)
	}
}

// learn updates the pool's and the target's times from a whole answer.
func (s *Scheduler) learn(now time.Time, r *running) {
	p := s.pools[r.target.Pool]
	took := now.Sub(r.since).Seconds()
	blend(&p.service, took, serviceMemory)
	p.demandOf(r.request.Rank).served(took)
	if r.events < minPaceEvents || r.firstAt.IsZero() {
		return
	}
	pace := r.lastAt.Sub(r.firstAt).Seconds() / float64(r.events-1)
	if pace <= 0 {
		return
	}
	observe(&r.target.speeds.EventInterval, pace)
	blend(&p.pace, pace, serviceMemory)
}

func (p *pool) tokensPerEvent() float64 {
	if p.engine == nil || p.engine.TokensPerEvent <= 0 {
		return assumedTokensPerEvent
	}
	return float64(p.engine.TokensPerEvent)
}
