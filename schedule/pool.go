package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// Assumptions before anything was observed.
	defaultEngineService = 500 * time.Millisecond
	defaultPlainService  = 30 * time.Millisecond
	defaultPrefillRate   = 50_000.0 // tokens a second
	defaultEventInterval = 0.018    // seconds between the events of a stream

	// poolSampleWeight is the weight of a new observation of a pool.
	poolSampleWeight = 0.05
)

// pool is the part of the scheduler for the targets of one service.
type pool struct {
	name    ident.Pool
	engine  *route.Engine
	targets []*target
	queue   queue
	demands map[Rank]*demand
	// peerDemands holds what arrives at the other hosts.
	peerDemands map[Rank]*peerDemand

	// meanService is the mean time in meanService in seconds.
	meanService float64
	// prefillRate is the prompt tokens that a target of mean speed computes in a
	// second.
	prefillRate float64
	// eventInterval is the mean time between the events of a stream in seconds.
	eventInterval float64

	// retryableArrivedAt is when the last request arrived that is fit for a probe.
	retryableArrivedAt time.Time
	// yieldingSince is since when free slots are left to other hosts' requests, or
	// zero.
	yieldingSince time.Time
	// peersRunning is what the other hosts had on the targets when this was looked at
	// last.
	peersRunning int
}

func newPool(name ident.Pool) *pool {
	return &pool{
		name:          name,
		demands:       make(map[Rank]*demand),
		peerDemands:   make(map[Rank]*peerDemand),
		meanService:   defaultPlainService.Seconds(),
		prefillRate:   defaultPrefillRate,
		eventInterval: defaultEventInterval,
	}
}

// configure takes in what the configuration says of the pool.
func (p *pool) configure(engine *route.Engine) {
	if engine != nil && p.engine == nil {
		p.meanService = defaultEngineService.Seconds()
	}
	p.engine = engine
}

func updateEWMA(mean *float64, observed, weight float64) { *mean += weight * (observed - *mean) }

// prefillRateOf returns the prompt tokens that a target computes in a second.
func (p *pool) prefillRateOf(t *target) float64 {
	if rate := t.knownSpeeds().PrefillRate; rate > 0 {
		return rate
	}
	if pace := t.knownSpeeds().EventInterval; pace > 0 {
		return p.prefillRate * min(max(p.eventInterval/pace, minRelativeSpeed), maxRelativeSpeed)
	}
	return p.prefillRate
}

// tokenTimeOf returns how long a target takes for one token, in seconds.
func (p *pool) tokenTimeOf(t *target) float64 {
	pace := t.knownSpeeds().EventInterval
	if pace == 0 {
		pace = p.eventInterval
	}
	return pace / p.tokensPerEvent()
}

const (
	// minRelativeSpeed and maxSpeed bound what is believed of a target's speed, relative
	// to the pool's mean.
	minRelativeSpeed = 0.2
	maxRelativeSpeed = 4.0
)

// usableTargets returns the targets that may get requests now. If all of them rest, those
// that have answered anything lately are tried nevertheless.
func (p *pool) usableTargets(now time.Time) []*target {
	list := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		if t.inService() && t.usable(now) {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, t := range p.targets {
		if t.inService() && now.Sub(t.lastResponseAt) < fallbackWindow {
			list = append(list, t)
		}
	}
	return list
}

// fallbackWindow is how long ago a resting target may have answered to be tried when all
// others rest too.
const fallbackWindow = 10 * time.Second

// outlierInterval is the least time between two searches for outliers.
const outlierInterval = 10 * time.Millisecond

func (s *Scheduler) ejectOutliers(now time.Time) {
	if now.Sub(s.outliersCheckedAt) < outlierInterval {
		return
	}
	s.outliersCheckedAt = now
	for _, p := range s.pools {
		s.ejectPoolOutliers(now, p)
	}
}

// ejectPoolOutliers lets the targets rest that fail more often than the others, unless
// less than half of the pool would be left.
func (s *Scheduler) ejectPoolOutliers(now time.Time, p *pool) {
	var sum resultCounts
	present := 0
	for _, t := range p.targets {
		results := t.allResults(now)
		sum.successes += results.successes
		sum.failures += results.failures
		if t.inService() {
			present++
		}
	}
	left := len(p.usableTargets(now))
	for _, t := range p.targets {
		if t.health.probation || !isOutlier(t.allResults(now), sum) || 2*(left-1) < present {
			continue
		}
		left--
		before := t.health
		t.health.eject(now, baseEjection)
		t.health.ejectedForErrors = true
		s.recordHealthChange(t, before, causeOutlier)
	}
}

// maxProbeWait is how long a probe waits for a request that loses nothing by it.
const maxProbeWait = 5 * time.Second

// mayProbe says whether a request may be sent to a target that has not answered
// since its rest. One that cannot be repeated is only risked if there are no others.
func (p *pool) mayProbe(now time.Time, r *Request) bool {
	return r.Retryable || now.Sub(p.retryableArrivedAt) > maxProbeWait
}

func (p *pool) demandOf(r Rank) *demand { return getOrCreate(p.demands, r) }

// peerDemandOf returns what arrives at the other hosts at a rank.
func (p *pool) peerDemandOf(r Rank) *peerDemand { return getOrCreate(p.peerDemands, r) }

// getOrCreate returns what the map holds for a rank, after putting an empty one there if
// there was none.
func getOrCreate[D any](demands map[Rank]*D, r Rank) *D {
	d := demands[r]
	if d == nil {
		d = new(D)
		demands[r] = d
	}
	return d
}

func freeSlots(now time.Time, targets []*target) int {
	free := 0
	for _, t := range targets {
		free += max(0, t.freeSlots(now))
	}
	return free
}

func totalSlots(targets []*target) int {
	sum := 0
	for _, t := range targets {
		sum += t.Slots
	}
	return sum
}

// idleFirstEventTime predicts the time from the dispatch to the first event on the fastest
// target of the pool while it is idle.
func (p *pool) idleFirstEventTime(r *Request) time.Duration {
	fastest := 0.0
	for _, t := range p.targets {
		fastest = max(fastest, p.prefillRateOf(t))
	}
	if fastest == 0 {
		fastest = p.prefillRate
	}
	return seconds(float64(r.PromptTokens)/fastest) + firstEventOverhead
}

// firstEventTime predicts the time from the dispatch to the first event on a target,
// after the prompts that it has yet to compute.
func (p *pool) firstEventTime(t *target, uncached int) time.Duration {
	work := float64(t.prefill + t.peers.PrefillTokens + uncached)
	return seconds(work/p.prefillRateOf(t)) + firstEventOverhead
}

// firstEventOverhead is the part of the time to the first event that does not
// depend on the prompt: the network and a step of the engine.
const firstEventOverhead = 25 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
