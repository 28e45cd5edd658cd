package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
)

const (
	// maxEvidenceRoutes bounds the routes that have counts of their own; the others share those
	// of otherRoutes.
	maxEvidenceRoutes = 32
	otherRoutes       = rollout.RouteID(0)
	// maxBarredVersions bounds the versions of a pool that get no requests. Beyond that, the
	// oldest orders no longer count.
	maxBarredVersions = 16
	// fullShareMilli is the share at which all requests are for the candidates.
	fullShareMilli = 1000
)

// poolRollout is what this host applies of the newest order of a pool.
type poolRollout struct {
	progress rollout.Progress
	gate     rollout.Gate
	report   rollout.Report
	// replaced holds the targets that a completed rollout has replaced.
	replaced map[ident.Target]bool
}

func (r *poolRollout) inProgress() bool { return r != nil && r.progress.Phase == rollout.InProgress }

// EnableRollouts has targets of a new version wait until the orders were read.
func (s *Scheduler) EnableRollouts() { s.rolloutsEnabled = true }

// SetRollout sets the newest known progress of a pool's rollout. A fresh progress was confirmed
// now, so its share may be used for some time.
func (s *Scheduler) SetRollout(now time.Time, name ident.Pool, p rollout.Progress, fresh bool) {
	pool := s.poolOf(name)
	before := pool.rollout
	if before == nil || before.progress.Order != p.Order {
		pool.supersede(before, p.Version)
		pool.rollout = &poolRollout{report: make(rollout.Report)}
	}
	r := pool.rollout
	if p.Phase == rollout.Completed && r.progress.Phase != rollout.Completed {
		r.replaced = pool.targetsReplacedBy(p.Version, r.progress.Phase)
	}
	if p.Phase == rollout.RolledBack {
		pool.bar(p.Version)
	} else {
		delete(pool.barred, p.Version)
	}
	r.progress = p
	if fresh || p.Phase == rollout.RolledBack {
		r.gate.Apply(now, p)
	}
}

// supersede bars the version of an order in progress that a newer one replaces. It was not
// judged, so it must not get the requests of the old targets.
func (p *pool) supersede(before *poolRollout, version string) {
	if before.inProgress() && before.progress.Version != version {
		p.bar(before.progress.Version)
	}
}

func (p *pool) bar(version string) {
	if p.barred == nil {
		p.barred = make(map[string]bool)
	}
	if len(p.barred) < maxBarredVersions {
		p.barred[version] = true
	}
}

// targetsReplacedBy returns the targets of other versions at the end of a rollout that this host
// has followed. Targets that start later, by a replacement without an order, are not among them.
func (p *pool) targetsReplacedBy(version string, before rollout.Phase) map[ident.Target]bool {
	replaced := make(map[ident.Target]bool)
	if before == 0 {
		return replaced
	}
	for _, t := range p.targets {
		if t.Version != version {
			replaced[t.Name] = true
		}
	}
	return replaced
}

// BlockRollout has the pool's requests sent to the old targets because of this host's own
// evidence.
func (s *Scheduler) BlockRollout(name ident.Pool) {
	if r := s.poolOf(name).rollout; r != nil {
		r.gate.Block()
	}
}

// ReleaseVersions ends the wait of targets of new versions for the orders.
func (s *Scheduler) ReleaseVersions() {
	for _, p := range s.pools {
		p.versions.release()
	}
}

// TakeUnknownVersions reports whether targets of versions that were never seen before have
// appeared since the last call.
func (s *Scheduler) TakeUnknownVersions() bool {
	appeared := s.unknownVersions
	s.unknownVersions = false
	return appeared
}

// recordVersions records the versions of the announced targets.
func (s *Scheduler) recordVersions(now time.Time) {
	if !s.rolloutsEnabled {
		return
	}
	for _, p := range s.pools {
		inService := len(p.versions.known) > 0
		for _, t := range p.targets {
			if t.announced && p.versions.record(now, t.Version, inService) {
				s.unknownVersions = true
			}
		}
	}
}

// divided reports whether some requests may not be sent to some of the pool's targets.
func (p *pool) divided(now time.Time) bool {
	if p.rollout == nil && len(p.barred) == 0 && len(p.versions.heldUntil) == 0 {
		return false
	}
	if p.rollout.inProgress() {
		return true
	}
	return slices.ContainsFunc(p.targets, func(t *target) bool { return p.excludes(now, t) })
}

// excludes reports whether the target gets no requests at all: its version was rolled back,
// superseded, replaced, or waits for the orders to be read.
func (p *pool) excludes(now time.Time, t *target) bool {
	switch {
	case p.barred[t.Version]:
		return true
	case p.versions.holds(now, t.Version) && !p.rollout.orders(t.Version):
		return true
	default:
		return p.rollout != nil && p.rollout.progress.Phase == rollout.Completed && p.rollout.replaced[t.Name]
	}
}

// assignSide assigns a request the side of a rollout in progress. Repeated runs stay on the old
// side, as does the remainder of a stream, which its version determines.
func (s *Scheduler) assignSide(now time.Time, p *pool, r *Request) {
	r.pool = p
	if !p.rollout.inProgress() {
		return
	}
	side := p.rollout.gate.Choose(now, s.random())
	if side == rollout.New && !r.Repeat && len(r.ExcludedTargets) == 0 && !r.RequiresVersion {
		r.side = rollout.New
	}
}

// fitsSide reports whether the rollouts of the pool let the request be sent to the target.
func (r *Request) fitsSide(now time.Time, t *target) bool {
	p := r.pool
	switch {
	case p == nil:
		return true
	case p.excludes(now, t):
		return false
	case !p.rollout.inProgress(), r.RequiresVersion:
		return true
	case t.Version == p.rollout.progress.Version:
		return r.side == rollout.New || !p.hasOldTarget()
	default:
		return r.side == rollout.Old
	}
}

func (r *poolRollout) orders(version string) bool { return r != nil && r.progress.Version == version }

// hasOldTarget reports whether a target of another version than the ordered one is announced
// that may get requests.
func (p *pool) hasOldTarget() bool {
	for _, t := range p.targets {
		if t.announced && t.Version != p.rollout.progress.Version && !p.barred[t.Version] {
			return true
		}
	}
	return false
}

// reconsiderSide has the request sent to an old target if no candidate can take it. Below the
// full share, that includes candidates without a free slot.
func (p *pool) reconsiderSide(now time.Time, r *Request) {
	if r.side != rollout.New || !p.rollout.inProgress() {
		return
	}
	candidates := p.candidates(now, r)
	full := p.rollout.progress.ShareMilli < fullShareMilli && freeSlots(now, candidates) == 0
	if len(candidates) == 0 || full {
		r.side = rollout.Old
	}
}

// recordDispatched counts a dispatch as evidence, and remembers the order that it counts for.
func (p *pool) recordDispatched(run *runningRequest) {
	if !p.rollout.inProgress() {
		return
	}
	run.order = p.rollout.progress.Order
	p.rollout.add(run, rollout.Counts{Dispatched: 1})
}

// recordEvidence counts the end of a run. Runs that ended because of the caller, of links of
// this host or of overload say nothing about the version.
func (p *pool) recordEvidence(now time.Time, run *runningRequest, result Result) {
	if p.rollout == nil || run.order == (rollout.OrderID{}) || run.order != p.rollout.progress.Order {
		return
	}
	var counts rollout.Counts
	switch {
	case result == Served:
		counts.Successes = 1
		run.recordDurations(now, &counts)
	case p.cutOff:
		return
	case result == Failed, result == Broken, result == Abandoned && run.missedDeadline():
		counts.Failures = 1
	default:
		return
	}
	p.rollout.add(run, counts)
}

// missedDeadline reports whether the deadline passed and the target had most of the request's time.
// If the request waited at the host for most of it, an overloaded host or pool is the cause, and
// no fault of the target's version.
func (r *runningRequest) missedDeadline() bool {
	return r.outOfTime && r.request.Deadline.Sub(r.dispatchedAt) >= r.dispatchedAt.Sub(r.request.Arrived)
}

// recordDurations adds the time to the first event, or to the end of a plain response, and the
// mean time between the events of a stream.
func (r *runningRequest) recordDurations(now time.Time, counts *rollout.Counts) {
	if r.firstEventAt.IsZero() {
		counts.FirstEvents.Record(now.Sub(r.dispatchedAt))
		return
	}
	counts.FirstEvents.Record(r.firstEventAt.Sub(r.dispatchedAt))
	if r.events >= minIntervalEvents {
		counts.Intervals.Record(r.lastEventAt.Sub(r.firstEventAt) / time.Duration(r.events-1))
	}
}

func (r *poolRollout) add(run *runningRequest, counts rollout.Counts) {
	key := rollout.CountKey{Route: rollout.RouteID(xxhash.Sum64String(run.request.Route))}
	if run.target.Version == r.progress.Version {
		key.Side = rollout.New
	}
	if _, known := r.report[key]; !known && len(r.report) >= 2*maxEvidenceRoutes {
		key.Route = otherRoutes
	}
	sum := r.report[key]
	sum.Add(counts)
	r.report[key] = sum
}

// RecordOutOfTime records that the deadline of a running request has passed.
func (s *Scheduler) RecordOutOfTime(id ident.Request) {
	if r := s.running[id]; r != nil {
		r.outOfTime = true
	}
}

// RolloutReport returns this host's evidence about an order, or nil.
func (s *Scheduler) RolloutReport(name ident.Pool, order rollout.OrderID) rollout.Report {
	p := s.pools[name]
	if p == nil || p.rollout == nil || p.rollout.progress.Order != order {
		return nil
	}
	return maps.Clone(p.rollout.report)
}

// RolloutLoad returns the load of the targets of both sides. Targets of barred versions count
// on neither.
func (s *Scheduler) RolloutLoad(name ident.Pool, version string) RolloutLoad {
	var load RolloutLoad
	p := s.poolOf(name)
	for _, t := range p.targets {
		switch {
		case t.Version == version && t.available():
			load.Candidates++
			load.CandidateSlots += t.Slots
		case t.Version == version, p.barred[t.Version]:
		default:
			load.OldRunning += t.running + t.peers.Running
			if t.available() {
				load.OldTargets++
				load.OldSlots += t.Slots
			}
		}
	}
	return load
}
