package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// Scheduler is the scheduling state of one host. It is not safe for concurrent
// use.
type Scheduler struct {
	dataCentre ident.DataCentre
	random     func() float64

	pools   map[ident.Pool]*pool
	targets map[ident.Target]*target
	peers   map[ident.Host]*peerState
	// regions holds what is known of the hosts that are only heard as a sum.
	regions map[ident.DataCentre]*peerState
	// members is the number of other hosts, heard or not.
	members int
	// blind says that some of them are not heard.
	blind bool
	// observedAt is when observations were told last, and observeSoon says that
	// there is bad news among them.
	observedAt  time.Time
	observeSoon bool
	// sumObservedAt is when they were told in a sum last.
	sumObservedAt time.Time
	// outliersAt is when outliers were looked for last.
	outliersAt time.Time

	queued   map[ident.Request]*waiting
	running  map[ident.Request]*running
	sequence uint64

	prefixes *prefixIndex
	// placements are those to tell; the first placementsTold were told once.
	placements     []PrefixLocation
	placementsTold int
	notices        []HealthEvent
	// pending holds answers that are given at the next decision.
	pending []Action
}

// Options configures a Scheduler.
type Options struct {
	// DataCentre is this host's.
	DataCentre ident.DataCentre
	// Random returns numbers in [0, 1); nil means the process's generator.
	Random func() float64
}

// New returns a scheduler that knows no target.
func New(o Options) *Scheduler {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Scheduler{
		dataCentre: o.DataCentre,
		random:     o.Random,
		pools:      make(map[ident.Pool]*pool),
		targets:    make(map[ident.Target]*target),
		peers:      make(map[ident.Host]*peerState),
		regions:    make(map[ident.DataCentre]*peerState),
		queued:     make(map[ident.Request]*waiting),
		running:    make(map[ident.Request]*running),
		prefixes:   newPrefixIndex(),
	}
}

// Configure brings the configured pools and the announced targets into force.
// Requests in service stay where they are.
func (s *Scheduler) Configure(now time.Time, pools map[ident.Pool]*route.Pool, roster *route.TargetSnapshot) {
	for name, declared := range pools {
		s.poolOf(name).declare(declared.Engine)
	}
	for _, t := range s.targets {
		t.declared = false
	}
	for name, declared := range roster.Targets {
		s.declareTarget(name, declared)
	}
	for _, t := range s.targets {
		if !t.declared && t.running == 0 {
			s.dropTarget(t)
		}
	}
	s.sumLoads()
}

func (s *Scheduler) declareTarget(name ident.Target, declared route.Target) {
	t := s.targets[name]
	if t != nil && t.Pool != declared.Pool {
		s.dropTarget(t)
		t = nil
	}
	if t == nil {
		t = &target{Target: declared, blind: s.blind}
		s.targets[name] = t
		p := s.poolOf(declared.Pool)
		p.targets = append(p.targets, t)
	}
	if t.StartUnixMs != declared.StartUnixMs || t.Address != declared.Address {
		t.health = health{}
		t.speeds = Speeds{}
		s.prefixes.forget(name)
	}
	t.Target = declared
	t.declared = true
	t.engine = s.pools[declared.Pool].engine != nil
}

func (s *Scheduler) dropTarget(t *target) {
	delete(s.targets, t.Name)
	p := s.pools[t.Pool]
	for i := range p.targets {
		if p.targets[i] == t {
			p.targets = append(p.targets[:i], p.targets[i+1:]...)
			break
		}
	}
	s.prefixes.forget(t.Name)
}

func (s *Scheduler) poolOf(name ident.Pool) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool(name)
		s.pools[name] = p
	}
	return p
}

// Enqueue adds a request. It is refused at the next decision if waiting would be
// in vain.
func (s *Scheduler) Enqueue(now time.Time, r Request) {
	p := s.poolOf(r.Pool)
	p.demandOf(r.Rank).arrived(now)
	if r.Retryable {
		p.repeatableAt = now
	}
	s.sequence++
	w := &waiting{request: &r, sequence: s.sequence}
	w.lapse = r.Objective.Add(-p.firstEventOf(&r))
	w.giveUp = r.Arrived.Add(seconds(latePatience * r.AbandonTime.Sub(r.Arrived).Seconds()))
	if w.giveUp.Before(w.lapse) {
		w.giveUp = w.lapse
	}
	w.late = !now.Before(w.lapse)
	if s.hopeless(now, p, w) || !p.present() {
		s.pending = append(s.pending, s.refuse(now, p, w, "the queue is too long for this request"))
		return
	}
	s.queued[r.ID] = w
	p.queue.add(w)
}

// present says whether the pool has a target that stays.
func (p *pool) present() bool {
	for _, t := range p.targets {
		if t.stays() {
			return true
		}
	}
	return false
}

// firstEventOf predicts the time from the dispatch to an answer on time.
func (p *pool) firstEventOf(r *Request) time.Duration {
	if p.engine == nil {
		return seconds(p.service)
	}
	return p.firstEvent(r)
}

// Cancel takes out a queued request. It returns false if it was not queued.
func (s *Scheduler) Cancel(id ident.Request) bool {
	w := s.queued[id]
	if w == nil {
		return false
	}
	delete(s.queued, id)
	return s.pools[w.request.Pool].queue.remove(id)
}

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return len(s.queued) }

// Running returns the number of requests in service.
func (s *Scheduler) Running() int { return len(s.running) }

// Decide returns what has to be done now. The state already reflects it.
func (s *Scheduler) Decide(now time.Time) []Action {
	actions := s.pending
	s.pending = nil
	s.updateBlind(now)
	s.restSilent(now)
	s.restOutliers(now)
	for _, p := range s.pools {
		if len(p.queue.items) == 0 {
			continue
		}
		actions = s.refuseExpired(now, p, actions)
		actions = s.place(now, p, actions)
	}
	return actions
}

const (
	// maxWake bounds the time between two decisions while requests wait.
	maxWake = 50 * time.Millisecond
	// minWake keeps a host from spinning.
	minWake = time.Millisecond
	// yieldWake is when to look again at slots left to others.
	yieldWake = 4 * time.Millisecond
)

// NextWake returns after which time Decide must be called though nothing happens,
// or zero if it need not.
func (s *Scheduler) NextWake(now time.Time) time.Duration {
	if len(s.pending) > 0 {
		return minWake
	}
	wake := time.Duration(0)
	for _, p := range s.pools {
		if len(p.queue.items) == 0 {
			continue
		}
		if wake == 0 {
			wake = maxWake
		}
		if !p.yieldSince.IsZero() {
			wake = min(wake, yieldWake)
		}
		for _, w := range p.queue.items {
			wake = min(wake, w.giveUp.Sub(now))
		}
	}
	if wake == 0 {
		return 0
	}
	return max(wake, minWake)
}
