package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// Estimates used until something was measured.
	defaultEngineService = 500 * time.Millisecond
	defaultPlainService  = 30 * time.Millisecond
	defaultPrefillRate   = 50_000.0 // tokens per second
	defaultEventInterval = 0.018    // seconds

	// poolSampleWeight is the weight of a new sample in the means of a pool.
	poolSampleWeight = 0.05
)

// pool is the scheduling state of one pool and its targets.
type pool struct {
	name    ident.Pool
	engine  *route.Engine
	targets []*target
	queue   queue
	demands rankTable[demand]
	// peerDemands holds the demand at the other hosts.
	peerDemands rankTable[peerDemand]

	// shares divides the capacity among teams while it is scarce.
	shares teamShares
	// control admits requests by rates where there are many hosts.
	control rateControl

	// meanService is the mean service time in seconds.
	meanService float64
	// plainTime is the mean time in seconds for which a request of a plain service occupies a slot, or
	// zero until one was served.
	plainTime float64
	// objective is the mean time in seconds that requests have left until their objective when they
	// arrive, or zero if none has arrived.
	objective float64
	// prefillRate is the prompt tokens per second that an average target processes.
	prefillRate float64
	// eventInterval is the mean time between the events of a stream in seconds.
	eventInterval float64

	// shortestResponses holds the shortest response times of the targets in each data centre.
	shortestResponses map[ident.DataCentre]*shortestResponse

	// retryableArrivedAt is when the last retryable request arrived; only such requests
	// are used as probes while they keep arriving.
	retryableArrivedAt time.Time
	// cutOff says that this host reaches no target of the pool, and unreachableAt is when it
	// last failed to connect to one.
	cutOff        bool
	unreachableAt time.Time
	// unheardSince is when this host found out that it gets no responses although the targets
	// accept its connections, or zero. linkTrialAt is when it last sent one of them a request
	// nevertheless.
	unheardSince time.Time
	linkTrialAt  time.Time
	// heldTrialAt is when this host last drew whether to send a request to a target whose slots
	// requests of other hosts hold.
	heldTrialAt time.Time
	// rollout is the newest order of the pool, or nil. barred holds the versions that get no
	// requests because they were rolled back, or replaced by a newer order before their end.
	rollout  *poolRollout
	barred   map[string]bool
	versions versionHistory
	// memory is what the pool's requests and prefixes take of its targets' memory.
	memory poolMemory
	// yieldingSince is when the host began to leave free slots to other hosts, or zero.
	yieldingSince time.Time
	// peersRunning is the number of requests that the other hosts ran on the targets at
	// the last call of peersTookSlots.
	peersRunning int
}

func newPool(name ident.Pool, fairShares bool) *pool {
	return &pool{
		name:              name,
		shares:            newTeamShares(fairShares),
		control:           rateControl{rates: fairshare.NewRates()},
		meanService:       defaultPlainService.Seconds(),
		prefillRate:       defaultPrefillRate,
		eventInterval:     defaultEventInterval,
		shortestResponses: make(map[ident.DataCentre]*shortestResponse),
	}
}

// configure applies the configuration of the pool.
func (p *pool) configure(engine *route.Engine) {
	if engine != nil && p.engine == nil {
		p.meanService = defaultEngineService.Seconds()
	}
	p.engine = engine
}

func updateEWMA(mean *float64, observed, weight float64) { *mean += weight * (observed - *mean) }

// prefillRateOf returns the prompt tokens per second that a target processes while its machine
// is in its usual state.
func (p *pool) prefillRateOf(now time.Time, t *target) float64 {
	speeds := t.knownSpeeds(now)
	if rate := speeds.PrefillRate; rate > 0 {
		return rate
	}
	if interval := speeds.EventInterval; interval > 0 {
		return p.prefillRate * min(max(p.eventInterval/interval, minRelativeSpeed), maxRelativeSpeed)
	}
	return p.prefillRate
}

// tokenTimeOf returns the time per output token of a target, in seconds, while its machine is
// in its usual state.
func (p *pool) tokenTimeOf(now time.Time, t *target) float64 {
	interval := t.knownSpeeds(now).EventInterval
	if interval == 0 {
		interval = p.eventInterval
	}
	return interval / p.tokensPerEvent()
}

const (
	// minRelativeSpeed and maxRelativeSpeed bound the estimated speed of a target,
	// relative to the mean of the pool.
	minRelativeSpeed = 0.2
	maxRelativeSpeed = 4.0
)

// usableTargets returns the targets that may get requests of this host now. If there are none, it
// falls back to those that responded within fallbackWindow, and to those that only other
// hosts have ejected.
func (p *pool) usableTargets(now time.Time) []*target {
	return usableOf(now, openTargets(now, p.targets))
}

func usableOf(now time.Time, targets []*target) []*target {
	list := make([]*target, 0, len(targets))
	for _, t := range targets {
		if t.available() && t.usable(now) {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, t := range targets {
		if t.available() && (!t.health.probation || now.Sub(t.lastResponseAt) < fallbackWindow) {
			list = append(list, t)
		}
	}
	return list
}

// fallbackWindow is how recently a target must have responded to be used when no
// target is usable.
const fallbackWindow = 10 * time.Second

// outlierInterval is the least time between two checks for outliers.
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

// ejectPoolOutliers ejects the targets that fail more often than the others, as long as
// at least half of the pool remains usable.
func (s *Scheduler) ejectPoolOutliers(now time.Time, p *pool) {
	var sum resultCounts
	present := 0
	for _, t := range p.targets {
		results := t.allResults(now)
		sum.successes += results.successes
		sum.failures += results.failures
		if t.available() {
			present++
		}
	}
	remaining := len(usableOf(now, p.targets))
	for _, t := range p.targets {
		if t.health.probation || !isOutlier(t.allResults(now), sum) || 2*(remaining-1) < present {
			continue
		}
		remaining--
		before := t.health
		t.health.eject(now, baseEjection)
		t.health.ejectedForErrors = true
		s.recordHealthChange(t, before, causeOutlier)
	}
}

// maxProbeWait is how long a probe waits for a retryable request, which loses nothing
// if the probe fails.
const maxProbeWait = 5 * time.Second

// mayProbe reports whether a request may be sent to a target on probation. A request
// that cannot be retried is used only if no retryable one arrived within maxProbeWait.
func (p *pool) mayProbe(now time.Time, r *Request) bool {
	return r.Retryable || now.Sub(p.retryableArrivedAt) > maxProbeWait
}

func (p *pool) demandOf(r Rank) *demand { return p.demands.getOrCreate(r) }

// peerDemandOf returns the demand at the other hosts at a rank.
func (p *pool) peerDemandOf(r Rank) *peerDemand { return p.peerDemands.getOrCreate(r) }

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

// idleFirstEventTime predicts the time from dispatch to the first event on the fastest
// target of the pool that may serve the request while that target is idle.
func (p *pool) idleFirstEventTime(now time.Time, r *Request) time.Duration {
	fastest := 0.0
	for _, t := range p.targets {
		if r.mayServe(now, t) {
			fastest = max(fastest, p.prefillRateOf(now, t))
		}
	}
	if fastest == 0 {
		fastest = p.prefillRate
	}
	return seconds(float64(r.PromptTokens)/fastest) + firstEventOverhead
}

// firstEventTime predicts the time from dispatch to the first event on a target, which
// first processes the prompts that it already has.
func (p *pool) firstEventTime(now time.Time, t *target, uncached int) time.Duration {
	work := float64(t.prefill+t.peers.PrefillTokens+uncached) / p.prefillRateOf(now, t)
	return seconds(work+t.machine.delay(now, work)) + firstEventOverhead
}

// firstEventOverhead is the part of the time to the first event that does not depend
// on the prompt: the network and one step of the engine.
const firstEventOverhead = 25 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// recordObjective takes in how long a request may take. One that is late already says nothing.
func (p *pool) recordObjective(r *Request) {
	left := r.Objective.Sub(r.Arrived).Seconds()
	switch {
	case left <= 0:
	case p.objective == 0:
		p.objective = left
	default:
		updateEWMA(&p.objective, left, poolSampleWeight)
	}
}
