package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/targetlimit"
)

const (
	// limitPeerTimeout is how long a host counts as one that receives states from this one after its last
	// state was received, unless states are sent so seldom that older ones are up to date.
	limitPeerTimeout = time.Second
	// rateInterval is the time between two calculations of the rates.
	rateInterval = 20 * time.Millisecond
	// limitEndReportWindow is how long the end of a limit is included in states.
	limitEndReportWindow = 10 * time.Second
)

// RecordLimit records what a response of a target said about the target's limit. It reports
// whether the statement in force has changed.
func (s *Scheduler) RecordLimit(now time.Time, from route.Target, statement targetlimit.Statement) (changed bool) {
	o := targetlimit.Observation{Statement: statement, Process: from.StartUnixMs, At: now}
	if t := s.targets[from.Name]; t != nil {
		t.heardLimit.Merge(o)
	}
	return s.mergeLimit(now, from.Name, o)
}

// mergeLimit merges an observation of a target's limit and reports whether the statement in
// force has changed.
func (s *Scheduler) mergeLimit(now time.Time, name ident.Target, o targetlimit.Observation) (changed bool) {
	t := s.targets[name]
	if t == nil || o.Process < t.StartUnixMs {
		return false
	}
	before := t.limit.InForce()
	changed = t.limit.Merge(o)
	s.recordLimitChange(now, t, before)
	return changed
}

// forgetLimit drops what earlier processes of the target have stated.
func (s *Scheduler) forgetLimit(now time.Time, t *target, process int64) {
	before := t.limit.InForce()
	t.heardLimit.Forget(process)
	t.limit.Forget(process)
	s.recordLimitChange(now, t, before)
}

// recordLimitChange adds an event if the target's statement in force is no longer the given
// one.
func (s *Scheduler) recordLimitChange(now time.Time, t *target, before targetlimit.Statement) {
	after := t.limit.InForce()
	if after == before {
		return
	}
	t.limitChangedAt = now
	if after.Kind == targetlimit.Unlimited {
		t.pacer = targetlimit.Pacer{}
	}
	s.ratesAt = time.Time{}
	s.limitEvents = append(s.limitEvents, LimitEvent{Target: t.Name, Pool: t.Pool, Before: before, After: after})
}

// updateRates calculates the rates of this host for the targets that state limits.
func (s *Scheduler) updateRates(now time.Time) {
	if now.Sub(s.ratesAt) < rateInterval {
		return
	}
	s.ratesAt = now
	for _, t := range s.targets {
		if t.limited() {
			s.updateRate(now, t)
		}
	}
}

// updateRate calculates the requests per second that this host may send to a target.
func (s *Scheduler) updateRate(now time.Time, t *target) {
	connected, hosts := s.connectedHosts(now), s.peerCount+1
	share := targetlimit.Share(connected, hosts)
	before := t.pacer.Rate()
	rate := targetlimit.Rate(t.Name, t.limit.PerSecond, share, s.host, s.keeperCandidates(now, t))
	t.pacer.SetRate(now, rate, t.limit.PerSecond)
	if (before > 0) != (rate > 0) {
		s.rateEvents = append(s.rateEvents, RateEvent{
			Target: t.Name, Rate: rate, PerSecond: t.limit.PerSecond, ConnectedHosts: connected, Hosts: hosts,
		})
	}
}

// connectedHosts returns the number of hosts whose states arrive, directly or in the aggregate of
// their data centre, including this one.
func (s *Scheduler) connectedHosts(now time.Time) int {
	connected := 1
	for peer := range s.peerStates() {
		if s.isConnected(now, peer) {
			connected += peer.hosts
		}
	}
	return connected
}

// isConnected reports whether states of a host, or aggregates of a data centre, arrive.
func (s *Scheduler) isConnected(now time.Time, peer *peerState) bool {
	return now.Sub(peer.receivedAt) < max(limitPeerTimeout, s.stateTTL)
}

// keeperCandidates returns the hosts that may become keepers of a target: those of one data
// centre, if possible its own. They are none if that is known in aggregate only.
func (s *Scheduler) keeperCandidates(now time.Time, t *target) []targetlimit.Candidate {
	byDC := s.reachingHosts(now, t, true)
	if len(byDC) == 0 {
		byDC = s.reachingHosts(now, t, false)
	}
	for dc, aggregate := range s.dcAggregates {
		if _, known := byDC[dc]; !known && s.isConnected(now, aggregate) {
			byDC[dc] = nil
		}
	}
	if candidates, ok := byDC[t.DataCentre]; ok {
		return candidates
	}
	var chosen ident.DataCentre
	for dc := range byDC {
		if chosen == "" || targetlimit.Weight(t.Name, dc) > targetlimit.Weight(t.Name, chosen) {
			chosen = dc
		}
	}
	return byDC[chosen]
}

// reachingHosts returns the hosts whose states arrive here and that do not leave, by data
// centre. With onlyReaching it leaves out those that have ejected the target.
func (s *Scheduler) reachingHosts(now time.Time, t *target, onlyReaching bool) map[ident.DataCentre][]targetlimit.Candidate {
	hosts := make(map[ident.DataCentre][]targetlimit.Candidate)
	if !s.leaving && !(onlyReaching && (s.pools[t.Pool].cutOff || t.health.leftToProbes(now))) {
		self := targetlimit.Candidate{Host: s.host, ArrivalRate: s.pools[t.Pool].arrivalRate(now)}
		hosts[s.dataCentre] = append(hosts[s.dataCentre], self)
	}
	for name, peer := range s.peers {
		if peer.state.Leaving || !s.isConnected(now, peer) || onlyReaching && !peer.reaches(t) {
			continue
		}
		dc := s.hostDataCentres[name]
		hosts[dc] = append(hosts[dc], targetlimit.Candidate{
			Host: name, ArrivalRate: peer.arrivalRate(t.Pool), Claim: peer.claims[t.Name],
		})
	}
	return hosts
}

// arrivalRate returns the requests per second that arrive at this host, of all ranks.
func (p *pool) arrivalRate(now time.Time) float64 {
	sum := 0.0
	for _, e := range p.demands.entries {
		sum += e.value.rate(now)
	}
	return sum
}

// arrivalRate returns the requests per second that arrive at the host for a pool.
func (p *peerState) arrivalRate(name ident.Pool) float64 {
	sum := 0.0
	for i := range p.state.Demands {
		if d := &p.state.Demands[i]; d.Pool == name {
			sum += d.ArrivalRate
		}
	}
	return sum
}

// reaches reports whether the host says nothing else of a target.
func (p *peerState) reaches(t *target) bool {
	return !slices.Contains(p.state.CutOff, t.Pool) && !p.hasEjected(t.Name)
}

// hasEjected reports whether the host has ejected a target.
func (p *peerState) hasEjected(name ident.Target) bool {
	for i := range p.state.Observations {
		if o := &p.state.Observations[i]; o.Target == name {
			return o.Ejected
		}
	}
	return false
}

// applyLimits merges the limits that another host reported and stores its claims.
func (s *Scheduler) applyLimits(now time.Time, peer *peerState) {
	for i := range peer.state.Limits {
		l := &peer.state.Limits[i]
		s.mergeLimit(now, l.Target, l.Observation)
		if l.Claim > 0 {
			if peer.claims == nil {
				peer.claims = make(map[ident.Target]float64)
			}
			peer.claims[l.Target] = l.Claim
		}
	}
}

// targetLimits returns the limits to report to other hosts: what this host received itself, so that
// a statement never returns to a host as a newer one.
func (s *Scheduler) targetLimits(now time.Time) []TargetLimit {
	s.updateRates(now)
	var list []TargetLimit
	for _, t := range s.targets {
		if t.reportsLimit(now) {
			list = append(list, TargetLimit{Target: t.Name, Observation: t.heardLimit, Claim: t.pacer.Rate()})
		}
	}
	return list
}

// directLimits returns the newest statements that this host and its direct peers received.
func (s *Scheduler) directLimits(now time.Time) []TargetLimit {
	list := s.targetLimits(now)
	index := make(map[ident.Target]int, len(list))
	for i := range list {
		list[i].Claim = 0
		index[list[i].Target] = i
	}
	for _, peer := range s.peers {
		for _, l := range peer.state.Limits {
			if i, ok := index[l.Target]; ok {
				list[i].Merge(l.Observation)
			}
		}
	}
	return list
}

// reportsLimit reports whether the target's limit is reported to other hosts: while it states one,
// and for some time afterwards.
func (t *target) reportsLimit(now time.Time) bool {
	ended := t.limit.Kind == targetlimit.Unlimited && now.Sub(t.limitChangedAt) < limitEndReportWindow
	return t.limited() || ended
}

// limited reports whether the target states a limit.
func (t *target) limited() bool { return t.limit.Kind == targetlimit.Limited }

// closed reports whether this host may send the target nothing because of its limit.
func (t *target) closed() bool { return t.limited() && t.pacer.Rate() == 0 }

// takesNothing reports whether this host may send the target nothing now, because of its limit
// or because it wants a pause.
func (t *target) takesNothing(now time.Time) bool { return t.closed() || now.Before(t.pausedUntil) }

// openTargets returns the targets that take requests now.
func openTargets(now time.Time, targets []*target) []*target {
	takesNothing := func(t *target) bool { return t.takesNothing(now) }
	if !slices.ContainsFunc(targets, takesNothing) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), takesNothing)
}

// capacity returns the number of slots that requests of this host can use. That of a target
// with a limit is what its rate occupies on average.
func (p *pool) capacity(now time.Time, targets []*target) float64 {
	sum := 0.0
	for _, t := range targets {
		slots := float64(t.usableSlots(now))
		if t.limited() {
			slots = min(slots, t.pacer.Rate()*p.meanService)
		}
		sum += slots
	}
	return sum
}

// lacksOnlyLimits reports whether targets would serve the request if they did not state
// limits, and no other target does.
func (p *pool) lacksOnlyLimits(now time.Time, r *Request) bool {
	return !p.hasCandidate(now, r) && p.hasCandidateWithoutLimits(now, r)
}

// limitedWait predicts how long a request waits if all of its targets state limits.
func (s *Scheduler) limitedWait(now time.Time, p *pool, w *queuedRequest, targets []*target) time.Duration {
	rate := 0.0
	var first time.Duration
	for _, t := range targets {
		if wait, ok := t.pacer.Wait(now); ok && (rate == 0 || wait < first) {
			first = wait
		}
		rate += t.pacer.Rate()
	}
	usable := max(rate-p.urgentArrivals(now, w), minCapacityRatio*rate)
	return first + seconds(float64(p.queue.position(w))/usable)
}

// urgentArrivals returns the more urgent requests per second that arrive at this host.
func (p *pool) urgentArrivals(now time.Time, w *queuedRequest) float64 {
	sum := 0.0
	for _, e := range p.demands.entries {
		if w.late || e.rank.Compare(w.request.Rank) < 0 {
			sum += e.value.rate(now)
		}
	}
	return sum
}

// limitedPoolWait predicts how long a request would wait at the keepers of the pool's targets.
func (s *Scheduler) limitedPoolWait(now time.Time, p *pool, w *queuedRequest) time.Duration {
	perSecond := 0.0
	for _, t := range p.targets {
		if t.available() && t.limited() {
			perSecond += t.limit.PerSecond
		}
	}
	if perSecond == 0 {
		return noTargetRetryAfter
	}
	return seconds(float64(1+s.peersAhead(now, p.name, w)) / perSecond)
}
