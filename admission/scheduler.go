package admission

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// Scheduler makes the admission decisions for one pool in one data centre.
type Scheduler struct {
	options Options
	random  *rand.Rand
	pool    settings.Pool

	tiers          []*tierQueue
	tierByName     map[ident.Tier]*tierQueue
	targets        []*targetState
	routingTargets []*routing.Target
	targetByName   map[ident.Target]*targetState

	queue map[ident.Request]*queuedRequest
	// latestStarts orders all queued requests by latest start.
	latestStarts *requestHeap
	running      map[ident.Request]*runningRequest
	sequence     uint64
	// lastDecision is when Decide was last called.
	lastDecision time.Time
	// meanPromptTokens is an exponentially weighted mean of prompt lengths.
	meanPromptTokens float64
	calibration      calibration
	// preempting counts the preempted requests that are still running.
	preempting int
	// reservations lists the slots freed by preemptions since the last
	// decision.
	reservations []reservation
	// pendingActions holds refusals made while handling an event. The next
	// Decide returns them.
	pendingActions []Action

	policy      schedulingPolicy
	prefixes    *routing.PrefixIndex
	estimator   *routing.Estimator
	lengths     *routing.LengthEstimator
	peerHints   peerHintTable
	crashes     *quarantine.Tracker
	retryBudget *rate.Limiter
}

const (
	// retriesPerSecond and retryBurst limit how many requests that could not
	// reach a target are queued again.
	retriesPerSecond = 10
	retryBurst       = 30
)

// New returns a Scheduler. It has no targets until Configure is called.
func New(o Options) *Scheduler {
	if o.Crashes == nil {
		o.Crashes = quarantine.NewTracker()
	}
	s := &Scheduler{
		options:      o,
		random:       rand.New(rand.NewPCG(o.Seed, o.Seed)),
		tierByName:   make(map[ident.Tier]*tierQueue),
		targetByName: make(map[ident.Target]*targetState),
		queue:        make(map[ident.Request]*queuedRequest),
		latestStarts: newRequestHeap(heapLatestStart, latestStartBefore),
		running:      make(map[ident.Request]*runningRequest),
		prefixes:     routing.NewPrefixIndex(PrefixBlockTokens),
		estimator:    routing.NewEstimator(),
		lengths:      routing.NewLengthEstimator(),
		peerHints:    peerHintTable{},
		crashes:      o.Crashes,
		retryBudget:  rate.NewLimiter(retriesPerSecond, retryBurst),
	}
	s.policy = newPredictive(s)
	return s
}

func latestStartBefore(a, b *queuedRequest) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.sequence < b.sequence
}

func (s *Scheduler) isKnown(id ident.Request) bool {
	return s.queue[id] != nil || s.running[id] != nil
}

func (s *Scheduler) teamWeight(team ident.Team) float64 {
	if weight := s.pool.Shares[team]; weight > 0 {
		return weight
	}
	return 1
}

// hasAvailableTarget reports whether any target accepts new work.
func (s *Scheduler) hasAvailableTarget() bool {
	for _, target := range s.targets {
		if !target.Draining {
			return true
		}
	}
	return false
}

// freeSlots returns the number of slots that can be granted now.
func (s *Scheduler) freeSlots(now time.Time) int {
	free := 0
	for _, target := range s.routingTargets {
		free += target.FreeSlots(now)
	}
	return free
}
