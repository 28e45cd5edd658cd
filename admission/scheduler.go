package admission

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/routing"
	"github.com/cornelyard/cornelyard/settings"
)

// Scheduler decides for one pool in one data centre.
type Scheduler struct {
	options Options
	random  *rand.Rand
	pool    settings.Pool

	tiers    []*tierQueue
	byTier   map[ident.Tier]*tierQueue
	targets  []*targetState
	routes   []*routing.Target
	byTarget map[ident.Target]*targetState

	queue    map[ident.Request]*queued
	giveUp   *requestHeap
	running  map[ident.Request]*running
	sequence uint64
	// decided is when Decide was last called.
	decided time.Time
	// meanPrompt is a decaying mean of the prompts' tokens.
	meanPrompt  float64
	calibration calibration
	// freeing counts the preempted requests in service.
	freeing int
	// reserved lists requests whose victim has ended.
	reserved []reservation
	// pending holds answers that were decided while an event was taken in.
	pending []Action

	discipline  discipline
	prefixes    *routing.PrefixIndex
	estimator   *routing.Estimator
	lengths     *routing.LengthEstimator
	peers       peerBook
	strikes     *strikeBook
	retryBudget *rate.Limiter
}

const (
	// retryRate and retryBurst bound how often requests that could not reach a
	// target are queued again, in requests a second and requests.
	retryRate  = 10
	retryBurst = 30
)

// New returns a Scheduler that has no targets until it is configured.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		byTier:      make(map[ident.Tier]*tierQueue),
		byTarget:    make(map[ident.Target]*targetState),
		queue:       make(map[ident.Request]*queued),
		giveUp:      newRequestHeap(heapGiveUp, giveUpEarlier),
		running:     make(map[ident.Request]*running),
		prefixes:    routing.NewPrefixIndex(PrefixBlockTokens),
		estimator:   routing.NewEstimator(),
		lengths:     routing.NewLengthEstimator(),
		peers:       peerBook{},
		strikes:     newStrikeBook(),
		retryBudget: rate.NewLimiter(retryRate, retryBurst),
	}
	s.discipline = newPredictive(s)
	return s
}

func giveUpEarlier(a, b *queued) bool {
	if !a.giveUp.Equal(b.giveUp) {
		return a.giveUp.Before(b.giveUp)
	}
	return a.sequence < b.sequence
}

func (s *Scheduler) knows(id ident.Request) bool {
	return s.queue[id] != nil || s.running[id] != nil
}

func (s *Scheduler) weight(team ident.Team) float64 {
	if weight := s.pool.Shares[team]; weight > 0 {
		return weight
	}
	return 1
}

// staying says whether any target takes new work.
func (s *Scheduler) staying() bool {
	for _, target := range s.targets {
		if !target.Leaving {
			return true
		}
	}
	return false
}

// freeSlots counts the slots that may be granted now.
func (s *Scheduler) freeSlots(now time.Time) int {
	free := 0
	for _, target := range s.routes {
		free += target.FreeSlots(now)
	}
	return free
}
