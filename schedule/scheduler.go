package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
)

// Scheduler is the scheduling state of one host. It is not safe for concurrent use.
type Scheduler struct {
	host       ident.Host
	dataCentre ident.DataCentre
	random     func() float64
	fairShares bool
	// sharedClock tells when requests are due for which capacity is reserved.
	sharedClock sharedClock
	// leaving is set while this host stops, at stopAt.
	leaving bool
	stopAt  time.Time
	// entriesWantedAt is when TakeEntryRead last wanted the entries of targets.
	entriesWantedAt time.Time

	pools map[ident.Pool]*pool
	// poolOrder holds the pools ordered by name.
	poolOrder []*pool
	targets   map[ident.Target]*target
	peers     map[ident.Host]*peerState
	// dcAggregates holds the aggregate states of the data centres whose hosts do not
	// send their own state to this one.
	dcAggregates map[ident.DataCentre]*peerState
	// peerOrder holds the states of peers and dcAggregates, ordered by name.
	peerOrder []*peerState
	// peerCount is the number of other hosts, whether their state is known or not, and
	// hostDataCentres their data centres.
	peerCount       int
	hostDataCentres map[ident.Host]ident.DataCentre
	// stateTTL is how long the state of another host counts as up to date.
	stateTTL time.Duration
	// connectionIdleTime is how long idle connections to targets are kept, or zero.
	connectionIdleTime time.Duration
	// constantDistances selects the constant costs of targets elsewhere.
	constantDistances bool
	// localities holds what is known of data centres since localitiesAt.
	localities   []locality
	localitiesAt time.Time
	lateLoadsAt  time.Time
	// cell is this host's cell of cells, the number of cells of its data centre.
	cell  int
	cells int
	// ratesAt is when the rates for targets with limits were last calculated.
	ratesAt time.Time
	// peersMissing says that the state of some of them is missing or too old.
	peersMissing bool
	// observationsSentAt is when LocalState last returned observations, and
	// observationsUrgent says that an ejection or a failure is still to be reported.
	observationsSentAt time.Time
	observationsUrgent bool
	// aggregateObservationsSentAt is when AggregateState last returned observations.
	aggregateObservationsSentAt time.Time
	// outliersCheckedAt is when outliers were last checked for.
	outliersCheckedAt time.Time

	queued   map[ident.Request]*queuedRequest
	running  map[ident.Request]*runningRequest
	sequence uint64

	prefixes *prefixIndex
	// prefixLocations are those to send; the first prefixLocationsSent were sent once.
	prefixLocations     []PrefixLocation
	prefixLocationsSent int
	healthEvents        []HealthEvent
	limitEvents         []LimitEvent
	rateEvents          []RateEvent
	machineEvents       []MachineEvent
	scarcityEvents      []ScarcityEvent
	prefixEvents        []PrefixEvent
	memoryEvents        []MemoryEvent

	// crashes holds the known crashes of targets. crashesChanged says that they changed
	// since the queue was last checked for quarantined requests, crashesUrgent that this
	// host's changes are still to be reported.
	crashes        *quarantine.Tracker
	crashesChanged bool
	crashesUrgent  bool
	crashReports   crashReports
	// unconfirmed holds possible crashes, which the entries of the targets may confirm.
	unconfirmed []unconfirmedCrash
	crashEvents []quarantine.Crash
	// quarantined holds the digests that were quarantined when events were last recorded.
	quarantined      []quarantine.Digest
	quarantineEvents []QuarantineEvent
	// suspicions holds what was known against digests when events were last recorded.
	suspicions      map[quarantine.Digest]SuspicionEvent
	suspicionEvents []SuspicionEvent
	// distantHosts holds the other hosts that send this one no state of their own.
	distantHosts []ident.Host
	// rolloutsEnabled says that rollouts may be ordered, and unknownVersions that targets of a
	// version appeared that was never seen before.
	rolloutsEnabled bool
	unknownVersions bool
	// pendingActions holds refusals for the next call of Decide.
	pendingActions []Action
}

// New returns a scheduler without targets.
func New(o Options) *Scheduler {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Scheduler{
		host:         o.Host,
		dataCentre:   o.DataCentre,
		random:       o.Random,
		fairShares:   o.FairShares,
		sharedClock:  sharedClock{read: o.SharedClock},
		pools:        make(map[ident.Pool]*pool),
		targets:      make(map[ident.Target]*target),
		peers:        make(map[ident.Host]*peerState),
		dcAggregates: make(map[ident.DataCentre]*peerState),
		stateTTL:     minStateTTL,
		cells:        1,
		queued:       make(map[ident.Request]*queuedRequest),
		running:      make(map[ident.Request]*runningRequest),
		prefixes:     newPrefixIndex(),
		crashes:      quarantine.NewTracker(),

		connectionIdleTime: o.ConnectionIdleTime,
		constantDistances:  o.ConstantDistances,
	}
}

// Enqueue adds a request to the queue. A request that is predicted to wait too long is
// refused at the next call of Decide.
func (s *Scheduler) Enqueue(now time.Time, r Request) {
	p := s.poolOf(r.Pool)
	p.demandOf(r.Rank).recordArrival(now)
	if r.Retryable {
		p.retryableArrivedAt = now
	}
	p.recordObjective(&r)
	s.sequence++
	w := &queuedRequest{request: &r, sequence: s.sequence}
	s.assignSide(now, p, &r)
	if until, quarantined := s.crashes.QuarantinedUntil(now, r.Content); quarantined {
		s.pendingActions = append(s.pendingActions, s.quarantineRefusal(now, p, w, until))
		return
	}
	if s.outlastsHost(now, p, &r) {
		s.pendingActions = append(s.pendingActions, s.stopRefusal(now, p, w))
		return
	}
	if d := s.divert(now, p, &r); d != nil {
		if w.linkTrial = p.isLinkTrial(now, &r); !w.linkTrial {
			s.pendingActions = append(s.pendingActions, d)
			return
		}
	}
	w.latestStart = r.Objective.Add(-p.leadTime(now, &r))
	w.refuseAt = r.Arrived.Add(seconds(lateWaitRatio * r.AbandonTime.Sub(r.Arrived).Seconds()))
	if w.refuseAt.Before(w.latestStart) {
		w.refuseAt = w.latestStart
	}
	w.late = !now.Before(w.latestStart)
	p.reconsiderSide(now, &r)
	s.recordDemand(now, p, &r)
	s.updateShares(now, p, w)
	if s.exceedsRate(now, p, w) {
		s.pendingActions = append(s.pendingActions, s.refuse(now, p, w, "capacity is scarce and the team or rank exceeds its part"))
		return
	}
	if s.cannotBeServed(now, p, w) || !p.hasCandidate(now, &r) {
		s.pendingActions = append(s.pendingActions, s.refuse(now, p, w, "the queue is too long for this request"))
		return
	}
	s.queued[r.ID] = w
	p.queue.add(w)
}

// leadTime predicts how long before its objective a request must be dispatched.
func (p *pool) leadTime(now time.Time, r *Request) time.Duration {
	if p.engine == nil {
		return seconds(p.meanService)
	}
	return p.idleFirstEventTime(now, r)
}

// Cancel removes a request from the queue. It returns false if the request was not
// queued.
func (s *Scheduler) Cancel(id ident.Request) bool {
	w := s.queued[id]
	if w == nil {
		return false
	}
	delete(s.queued, id)
	return s.pools[w.request.Pool].queue.remove(id)
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.queued) }

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return len(s.running) }

// Decide returns the actions to carry out now. The scheduler's state already reflects
// them.
func (s *Scheduler) Decide(now time.Time) []Action {
	actions := s.pendingActions
	s.pendingActions = nil
	actions = s.refuseQuarantined(now, actions)
	s.updatePeersMissing(now)
	s.updateLateLoads(now)
	s.updateRates(now)
	s.ejectUnresponsive(now)
	s.ejectOutliers(now)
	for _, p := range s.poolOrder {
		s.updateShares(now, p, nil)
		if len(p.queue.items) == 0 {
			continue
		}
		actions = s.refuseOutlasting(now, p, actions)
		actions = s.divertQueued(now, p, actions)
		actions = s.refuseForShares(now, p, actions)
		actions = s.refuseExpired(now, p, actions)
		actions = s.dispatchQueued(now, p, actions)
	}
	return actions
}

const (
	// maxWake bounds the time between two decisions while requests are queued.
	maxWake = 50 * time.Millisecond
	// minWake prevents a busy loop.
	minWake = time.Millisecond
	// yieldRecheck is when to reconsider slots that were left to other hosts.
	yieldRecheck = 4 * time.Millisecond
)

// NextWake returns the time after which Decide must be called even if nothing happens,
// or zero if it need not be called.
func (s *Scheduler) NextWake(now time.Time) time.Duration {
	if len(s.pendingActions) > 0 {
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
		if !p.yieldingSince.IsZero() {
			wake = min(wake, yieldRecheck)
		}
		for _, w := range p.queue.items {
			wake = min(wake, w.refuseAt.Sub(now))
		}
		for _, t := range p.targets {
			if wait, ok := t.pacer.Wait(now); ok && wait > 0 {
				wake = min(wake, wait)
			}
		}
	}
	if wake == 0 {
		return 0
	}
	return max(wake, minWake)
}
