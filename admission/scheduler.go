package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

// Scheduler decides for one pool in one data centre.
type Scheduler struct {
	options  Options
	pool     settings.Pool
	tiers    []*tierQueue
	byTier   map[ident.Tier]*tierQueue
	targets  []*targetState
	byTarget map[ident.Target]*targetState

	queue    map[ident.Request]*queued
	giveUp   *requestHeap
	running  map[ident.Request]*running
	sequence uint64
	peers    map[ident.DataCentre]PeerPool
	refused  []Action
}

// New returns a Scheduler that has no targets until it is configured.
func New(o Options) *Scheduler {
	return &Scheduler{
		options:  o,
		byTier:   make(map[ident.Tier]*tierQueue),
		byTarget: make(map[ident.Target]*targetState),
		queue:    make(map[ident.Request]*queued),
		running:  make(map[ident.Request]*running),
		peers:    make(map[ident.DataCentre]PeerPool),
		giveUp: newRequestHeap(heapGiveUp, func(a, b *queued) bool {
			return a.giveUp.Before(b.giveUp)
		}),
	}
}

// Enqueue adds a request; one whose ID is queued or in service is ignored.
func (s *Scheduler) Enqueue(now time.Time, r Request) {
	if s.knows(r.ID) {
		return
	}
	tier := s.byTier[r.Tier]
	if tier == nil {
		s.refuse(&r, outcome.TierForbidden, "the tier is not declared", 0)
		return
	}
	s.sequence++
	q := newQueued(r, s.sequence)
	tier.add(q, tier.team(r.Team, s.weight(r.Team)))
	s.queue[r.ID] = q
	s.giveUp.add(q)
}

// Cancel takes out a queued request.
func (s *Scheduler) Cancel(now time.Time, id ident.Request) {
	if q := s.queue[id]; q != nil {
		s.dequeue(q)
	}
}

// Decline takes a grant back that was not used.
func (s *Scheduler) Decline(now time.Time, d Decline) {
	r := s.running[d.ID]
	if r == nil || r.target.settings.Name != d.Target {
		return
	}
	s.release(now, r, 0)
	if d.Cause == DeclineLeaving {
		r.target.refusing = true
	}
}

// Progress takes in a report on a request in service.
func (s *Scheduler) Progress(now time.Time, p Progress) {
	if r := s.running[p.ID]; r != nil {
		r.tokens = max(r.tokens, p.Tokens)
	}
}

// End takes in that a request left its target.
func (s *Scheduler) End(now time.Time, e End) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	s.release(now, r, tokenSeconds(e.PromptTokens, e.Tokens, e.Total))
	if e.TargetLeaving {
		r.target.refusing = true
	}
}

// Adopt takes in a request in service that an entry reported to a new owner.
func (s *Scheduler) Adopt(now time.Time, in InService) {
	r := in.Request
	if s.running[r.ID] != nil {
		return
	}
	if q := s.queue[r.ID]; q != nil {
		s.dequeue(q)
	}
	target := s.byTarget[in.Target]
	if target == nil {
		target = s.undeclaredTarget(in.Target)
	}
	tier := s.tierOf(r.Tier, now)
	s.start(&running{
		request: r,
		target:  target,
		team:    tier.team(r.Team, s.weight(r.Team)),
		granted: in.Dispatched,
		tokens:  in.Tokens,
	})
}

// EntryLost drops what a lost entry had queued and frees the slots it held.
func (s *Scheduler) EntryLost(now time.Time, host ident.Host) {
	s.EntryReported(now, host, nil, nil)
}

// EntryReported replaces what is known of an entry by its own report.
func (s *Scheduler) EntryReported(now time.Time, host ident.Host, queue []Request, inService []InService) {
	s.dropUnreported(now, host, queue, inService)
	for _, in := range inService {
		s.Adopt(now, in)
	}
	for _, r := range queue {
		s.Enqueue(now, r)
	}
}

// Load takes in what a target told about itself.
func (s *Scheduler) Load(now time.Time, l LoadReport) {}

// Peer takes in a hint about the pool in another data centre.
func (s *Scheduler) Peer(now time.Time, p PeerPool) { s.peers[p.DataCentre] = p }

// Strike takes in a strike record of another owner.
func (s *Scheduler) Strike(now time.Time, d Digest, count int, expiry time.Time) {}

// Strikes returns the strike records that other owners should know.
func (s *Scheduler) Strikes(now time.Time) []StrikeRecord { return nil }

// Decide returns what has to be done now. The state already reflects it.
func (s *Scheduler) Decide(now time.Time) []Action {
	actions := s.refused
	s.refused = nil
	actions = s.shedLate(now, actions)
	actions = s.shedOverLimit(actions)
	return s.place(now, actions)
}

// NextWake returns after which time Decide must be called though nothing happens.
func (s *Scheduler) NextWake(now time.Time) time.Duration {
	q := s.giveUp.first()
	if q == nil {
		return time.Second
	}
	return min(time.Second, max(time.Millisecond, q.giveUp.Sub(now)))
}

// Hint describes the pool to other data centres.
func (s *Scheduler) Hint(now time.Time) PeerPool {
	hint := PeerPool{DataCentre: s.options.DataCentre, LowestRank: -1, At: now}
	for _, target := range s.targets {
		hint.FreeSlots += target.free()
	}
	hint.FreeSlots = max(0, hint.FreeSlots-len(s.queue))
	for _, tier := range s.tiers {
		if tier.queued+len(tier.running) > 0 {
			hint.LowestRank = max(hint.LowestRank, tier.rank)
		}
	}
	return hint
}

// Snapshot shows the state to operators.
func (s *Scheduler) Snapshot() Snapshot {
	snapshot := Snapshot{DataCentre: s.options.DataCentre, Pool: s.options.Pool}
	for _, tier := range s.tiers {
		snapshot.Tiers = append(snapshot.Tiers, TierSnapshot{
			Tier:      tier.name,
			Rank:      tier.rank,
			Queued:    tier.queued,
			InService: len(tier.running),
		})
	}
	for _, target := range s.targets {
		snapshot.Targets = append(snapshot.Targets, TargetSnapshot{
			Target:    target.settings.Name,
			InService: len(target.running),
			Ceiling:   target.settings.Slots,
			Slots:     target.settings.Slots,
			Leaving:   target.leaving(),
		})
	}
	return snapshot
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

func (s *Scheduler) refuse(r *Request, reason outcome.Reason, message string, retryAfter time.Duration) {
	s.refused = append(s.refused, &Refuse{Request: r, Reason: reason, Message: message, RetryAfter: retryAfter})
}

func (s *Scheduler) dequeue(q *queued) {
	q.team.tier.remove(q)
	s.giveUp.remove(q)
	delete(s.queue, q.request.ID)
}

func (s *Scheduler) start(r *running) {
	s.running[r.id()] = r
	r.target.running[r.id()] = r
	r.team.tier.running[r.id()] = r
}

// release frees the slot of a request in service and settles its account.
func (s *Scheduler) release(now time.Time, r *running, used float64) {
	delete(s.running, r.id())
	delete(r.target.running, r.id())
	delete(r.team.tier.running, r.id())
	r.team.tier.charge(now, r.team, used-r.charged)
}

func (s *Scheduler) dropUnreported(now time.Time, host ident.Host, queue []Request, inService []InService) {
	known := make(map[ident.Request]bool, len(queue)+len(inService))
	for i := range queue {
		known[queue[i].ID] = true
	}
	for i := range inService {
		known[inService[i].Request.ID] = true
	}
	for id, q := range s.queue {
		if q.request.Entry == host && !known[id] {
			s.dequeue(q)
		}
	}
	for id, r := range s.running {
		if r.request.Entry == host && !known[id] {
			s.release(now, r, r.tokenSeconds(now))
		}
	}
}

func (s *Scheduler) shedLate(now time.Time, actions []Action) []Action {
	for q := s.giveUp.first(); q != nil && !now.Before(q.giveUp); q = s.giveUp.first() {
		s.dequeue(q)
		actions = append(actions, &Refuse{
			Request:    &q.request,
			Reason:     outcome.Shed,
			Message:    "no slot was free before the deadline",
			RetryAfter: time.Second,
		})
	}
	return actions
}

func (s *Scheduler) shedOverLimit(actions []Action) []Action {
	limit := s.pool.MaxQueue
	for limit > 0 && len(s.queue) > limit {
		q := s.lastQueued()
		s.dequeue(q)
		actions = append(actions, &Refuse{
			Request:    &q.request,
			Reason:     outcome.Shed,
			Message:    "the queue is full",
			RetryAfter: time.Second,
		})
	}
	return actions
}

func (s *Scheduler) lastQueued() *queued {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		if q := s.tiers[i].last(); q != nil {
			return q
		}
	}
	return nil
}

func (s *Scheduler) firstQueued() *queued {
	for _, tier := range s.tiers {
		if q := tier.first(); q != nil {
			return q
		}
	}
	return nil
}

func (s *Scheduler) place(now time.Time, actions []Action) []Action {
	for q := s.firstQueued(); q != nil; q = s.firstQueued() {
		target := s.choose()
		if target == nil {
			return actions
		}
		actions = append(actions, s.grant(now, q, target))
	}
	return actions
}

// choose returns the target with the largest free part, or nil.
func (s *Scheduler) choose() *targetState {
	var best *targetState
	var bestPart float64
	for _, target := range s.targets {
		part := float64(target.free()) / float64(max(1, target.settings.Slots))
		if part > bestPart {
			best, bestPart = target, part
		}
	}
	return best
}

func (s *Scheduler) grant(now time.Time, q *queued, target *targetState) Action {
	team := q.team
	team.tier.clock.level = max(team.tier.clock.level, team.used)
	s.dequeue(q)
	r := &running{request: q.request, target: target, team: team, granted: now}
	r.charged = tokenSeconds(q.request.PromptTokens, 0, time.Second)
	team.tier.charge(now, team, r.charged)
	s.start(r)
	return &Grant{Request: &q.request, Target: target.settings.Name}
}
