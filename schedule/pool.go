package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// Assumptions before anything was observed.
	assumedEngineService  = 500 * time.Millisecond
	assumedServiceService = 30 * time.Millisecond
	assumedPrefillRate    = 50_000.0 // tokens a second
	assumedPace           = 0.018    // seconds between the events of a stream

	// serviceMemory is the weight of a new observation of a pool.
	serviceMemory = 0.05
)

// pool is the part of the scheduler for the targets of one service.
type pool struct {
	name    ident.Pool
	engine  *route.Engine
	targets []*target
	queue   queue
	demands map[Rank]*demand
	// others holds what arrives at the other hosts.
	others map[Rank]*othersDemand

	// service is the mean time in service in seconds.
	service float64
	// prefillRate is the prompt tokens that a target of mean speed computes in a
	// second.
	prefillRate float64
	// pace is the mean time between the events of a stream in seconds.
	pace float64

	// repeatableAt is when the last request arrived that is fit for a probe.
	repeatableAt time.Time
	// yieldSince is since when free slots are left to other hosts' requests, or
	// zero.
	yieldSince time.Time
	// othersRunning is what the other hosts had on the targets when this was looked at
	// last.
	othersRunning int
}

func newPool(name ident.Pool) *pool {
	return &pool{
		name:        name,
		demands:     make(map[Rank]*demand),
		others:      make(map[Rank]*othersDemand),
		service:     assumedServiceService.Seconds(),
		prefillRate: assumedPrefillRate,
		pace:        assumedPace,
	}
}

// declare takes in what the configuration says of the pool.
func (p *pool) declare(engine *route.Engine) {
	if engine != nil && p.engine == nil {
		p.service = assumedEngineService.Seconds()
	}
	p.engine = engine
}

func blend(mean *float64, observed, weight float64) { *mean += weight * (observed - *mean) }

// prefillRateOf returns the prompt tokens that a target computes in a second.
func (p *pool) prefillRateOf(t *target) float64 {
	if rate := t.seen().PrefillRate; rate > 0 {
		return rate
	}
	if pace := t.seen().EventInterval; pace > 0 {
		return p.prefillRate * min(max(p.pace/pace, minSpeed), maxSpeed)
	}
	return p.prefillRate
}

// tokenTimeOf returns how long a target takes for one token, in seconds.
func (p *pool) tokenTimeOf(t *target) float64 {
	pace := t.seen().EventInterval
	if pace == 0 {
		pace = p.pace
	}
	return pace / p.tokensPerEvent()
}

const (
	// minSpeed and maxSpeed bound what is believed of a target's speed, relative
	// to the pool's mean.
	minSpeed = 0.2
	maxSpeed = 4.0
)

// usable returns the targets that may get requests now. If all of them rest, those
// that have answered anything lately are tried nevertheless.
func (p *pool) usable(now time.Time) []*target {
	list := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		if t.stays() && t.usable(now) {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, t := range p.targets {
		if t.stays() && now.Sub(t.heard) < lastResort {
			list = append(list, t)
		}
	}
	return list
}

// lastResort is how long ago a resting target may have answered to be tried when all
// others rest too.
const lastResort = 10 * time.Second

// outlierInterval is the least time between two searches for outliers.
const outlierInterval = 10 * time.Millisecond

func (s *Scheduler) restOutliers(now time.Time) {
	if now.Sub(s.outliersAt) < outlierInterval {
		return
	}
	s.outliersAt = now
	for _, p := range s.pools {
		s.restOutliersOf(now, p)
	}
}

// restOutliersOf lets the targets rest that fail more often than the others, unless
// less than half of the pool would be left.
func (s *Scheduler) restOutliersOf(now time.Time, p *pool) {
	var sum tally
	present := 0
	for _, t := range p.targets {
		results := t.results(now)
		sum.good += results.good
		sum.bad += results.bad
		if t.stays() {
			present++
		}
	}
	left := len(p.usable(now))
	for _, t := range p.targets {
		if t.health.probation || !outlier(t.results(now), sum) || 2*(left-1) < present {
			continue
		}
		left--
		before := t.health
		t.health.restFor(now, firstRest)
		t.health.erring = true
		s.note(t, before, causeOutlier)
	}
}

// probeWait is how long a probe waits for a request that loses nothing by it.
const probeWait = 5 * time.Second

// mayProbe says whether a request may be sent to a target that has not answered
// since its rest. One that cannot be repeated is only risked if there are no others.
func (p *pool) mayProbe(now time.Time, r *Request) bool {
	return r.Retryable || now.Sub(p.repeatableAt) > probeWait
}

func (p *pool) demandOf(r Rank) *demand { return atRank(p.demands, r) }

// othersOf returns what arrives at the other hosts at a rank.
func (p *pool) othersOf(r Rank) *othersDemand { return atRank(p.others, r) }

// atRank returns what the map holds for a rank, after putting an empty one there if
// there was none.
func atRank[D any](demands map[Rank]*D, r Rank) *D {
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
		free += max(0, t.free(now))
	}
	return free
}

func slots(targets []*target) int {
	sum := 0
	for _, t := range targets {
		sum += t.Slots
	}
	return sum
}

// firstEvent predicts the time from the dispatch to the first event on the fastest
// target of the pool while it is idle.
func (p *pool) firstEvent(r *Request) time.Duration {
	fastest := 0.0
	for _, t := range p.targets {
		fastest = max(fastest, p.prefillRateOf(t))
	}
	if fastest == 0 {
		fastest = p.prefillRate
	}
	return seconds(float64(r.PromptTokens)/fastest) + firstEventOverhead
}

// firstEventOn predicts the time from the dispatch to the first event on a target,
// after the prompts that it has yet to compute.
func (p *pool) firstEventOn(t *target, uncached int) time.Duration {
	work := float64(t.prefill + t.others.PrefillTokens + uncached)
	return seconds(work/p.prefillRateOf(t)) + firstEventOverhead
}

// firstEventOverhead is the part of the time to the first event that does not
// depend on the prompt: the network and a step of the engine.
const firstEventOverhead = 25 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
