package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/targetlimit"
)

const (
	// unattributedTTL is how long load counts that the target reported and that no host
	// accounts for.
	unattributedTTL = 700 * time.Millisecond
	// meanUnattributedTTL is how long its mean counts while the state of some hosts is
	// missing.
	meanUnattributedTTL = 5 * time.Second
	// unattributedWeight is the weight of a new report in the mean.
	unattributedWeight = 0.3
)

// target is one back end as this host sees it.
type target struct {
	route.Target
	announced bool
	// isEngine says that the target is a model engine.
	isEngine bool
	// otherCell says that the target belongs to another cell of this host's data centre.
	otherCell bool

	running     int
	connections connections
	// suspects is the number of running requests of this host whose content is a suspect.
	suspects int
	prefill  int
	kv       int
	// memoryTurn is this host's turn to fill the target's memory.
	memoryTurn   memoryTurn
	memoryGrowth memoryGrowth

	// peers is the total of what the other hosts report about the target.
	peers peerAggregate
	// directPeers is the part of it that hosts reported themselves; the rest comes from
	// the aggregate states of other data centres.
	directPeers peerAggregate
	// unattributed is the reported load that no host accounts for, unattributedAt when
	// it was reported, and meanUnattributed its mean, which counts while the state of
	// some hosts is missing.
	unattributed     int
	unattributedAt   time.Time
	meanUnattributed float64
	// peersMissing says that the state of some hosts is missing.
	peersMissing bool
	// late estimates the load if its state is known too late for slots to be counted.
	late lateLoad

	// limit is the newest known statement about the target's limit, and heardLimit the newest
	// one that this host received itself.
	limit      targetlimit.Observation
	heardLimit targetlimit.Observation
	// limitChangedAt is when the statement in force last changed.
	limitChangedAt time.Time
	// pacer spaces the requests of this host while the target states a limit.
	pacer targetlimit.Pacer

	// leaving says that the process has said that it is about to end, and pausedUntil is the
	// end of the time in which it wants no requests from this host.
	leaving     bool
	pausedUntil time.Time
	// brittleUntil is until when the process counts as brittle, brittleHeardAt when a response
	// to this host last said so, and slotShare how many slots this host may use meanwhile.
	brittleUntil   time.Time
	brittleHeardAt time.Time
	slotShare      int

	health health
	// lostAt is when this host last could not reach the target's process, or zero if its entry was
	// read since.
	lostAt time.Time
	// brokenAt is when the target last broke off a request of this host.
	brokenAt time.Time
	// lastResponseAt is when the target last sent anything to this host.
	lastResponseAt time.Time
	// speeds holds what this host measured. The evidence for them is used only if the target
	// states how long work takes on its machine.
	speeds           Speeds
	prefillEvidence  speedEvidence
	intervalEvidence speedEvidence

	// machine is the newest known statement about the target's machine, ownMachine the
	// newest one that this host received itself, and machineUnusualAt when the newest known
	// statement of an unusual state was received.
	machine          machineState
	ownMachine       machineState
	machineUnusualAt time.Time

	// prefixes estimates which beginnings of prompts the target has cached, if its memory is known.
	prefixes targetPrefixes
}

// busySlots returns the number of slots that the requests of all hosts occupy.
func (t *target) busySlots(now time.Time) int {
	if t.late.inUse() {
		return t.running + t.lateOthers(now)
	}
	busy := t.running + t.peers.Running
	switch {
	case now.Sub(t.unattributedAt) < unattributedTTL:
		busy += t.unattributed
	case t.peersMissing && now.Sub(t.unattributedAt) < meanUnattributedTTL:
		busy += int(t.meanUnattributed + 0.5)
	}
	return busy
}

// freeSlots returns how many requests this host may send the target now.
func (t *target) freeSlots(now time.Time) int {
	free := min(t.Slots+t.late.queueable-t.busySlots(now), t.usableSlots(now)-t.running)
	switch {
	case !t.limited():
		return free
	case t.pacer.Ready(now):
		return min(free, 1)
	default:
		return min(free, 0)
	}
}

// recordReportedLoad records the load that a target reported with a response. It
// includes the request of this response.
func (t *target) recordReportedLoad(now time.Time, load int) {
	t.unattributed = max(0, load-t.running-t.peers.Running)
	t.unattributedAt = now
	t.late.recordReport(now, load-t.running, t.peers.Running)
	updateEWMA(&t.meanUnattributed, float64(t.unattributed), unattributedWeight)
}

// knownSpeeds returns the speeds that this host measured, or else the mean of what the
// other hosts measured. If the target states how long work takes on its machine, they are the
// mean over all hosts.
func (t *target) knownSpeeds(now time.Time) Speeds {
	if t.machine.stated() {
		sums := t.peers.speedSums
		return Speeds{
			PrefillRate:   t.prefillEvidence.combine(now, t.speeds.PrefillRate, sums.PrefillRate, t.peers.prefillRateHosts),
			EventInterval: t.intervalEvidence.combine(now, t.speeds.EventInterval, sums.EventInterval, t.peers.eventIntervalHosts),
		}
	}
	speeds := t.speeds
	if speeds.PrefillRate == 0 {
		speeds.PrefillRate = t.peers.meanSpeeds().PrefillRate
	}
	if speeds.EventInterval == 0 {
		speeds.EventInterval = t.peers.meanSpeeds().EventInterval
	}
	return speeds
}

// addPeerLoad adds what another host reports of its load to the totals, or subtracts it.
func (t *target) addPeerLoad(l *TargetLoad, direct bool, sign sign) {
	t.peers.addLoad(l, sign)
	if direct {
		t.directPeers.addLoad(l, sign)
	}
}

// addPeerObservation adds what another host observed to the totals, or subtracts it.
func (t *target) addPeerObservation(o *Observation, direct bool, sign sign) {
	t.peers.addObservation(o, sign)
	if direct {
		t.directPeers.addObservation(o, sign)
	}
}

// load returns the load that this host puts on the target.
func (t *target) load() TargetLoad {
	return TargetLoad{Target: t.Name, Running: t.running, PrefillTokens: t.prefill, KVTokens: t.kv}
}

// observation returns what this host measured of the target.
func (t *target) observation(now time.Time) Observation {
	t.health.results.decay(now)
	return Observation{
		Target:    t.Name,
		Speeds:    t.reportedSpeeds(now),
		Ejected:   t.health.leftToProbes(now),
		Successes: t.health.results.successes,
		Failures:  t.health.results.failures,
	}
}

// reportedSpeeds returns the speeds that this host measured, without outdated ones if the target
// states how long work takes on its machine.
func (t *target) reportedSpeeds(now time.Time) Speeds {
	speeds := t.speeds
	if !t.machine.stated() {
		return speeds
	}
	if t.prefillEvidence.count(now) < minEvidence {
		speeds.PrefillRate = 0
	}
	if t.intervalEvidence.count(now) < minEvidence {
		speeds.EventInterval = 0
	}
	return speeds
}

// minSignificantCount is the least decayed count that is reported.
const minSignificantCount = 0.1

func (o *Observation) significant() bool {
	return o.Successes > minSignificantCount || o.Failures > minSignificantCount || o.Ejected || o.Speeds != (Speeds{})
}

// allResults returns the result counts over all hosts.
func (t *target) allResults(now time.Time) resultCounts {
	t.health.results.decay(now)
	return resultCounts{
		successes: t.health.results.successes + t.peers.Successes,
		failures:  t.health.results.failures + t.peers.Failures,
	}
}

const (
	// recentResponseWindow is how long a response from a target outweighs ejections by other
	// hosts.
	recentResponseWindow = time.Second
	// minEjectingHosts is the number of other hosts that must have ejected a plain
	// service before this host stops using it too, because each of them seldom gets a
	// response from it. For an engine one host is enough.
	minEjectingHosts = 2
)

// available reports whether the target is announced and not about to end.
func (t *target) available() bool { return t.announced && !t.Draining && !t.leaving }

// usable reports whether this host may send the target a request. A target that other
// hosts have ejected, and that has not responded to this host recently, is left to
// their probes. Only one host at a time probes a target.
func (t *target) usable(now time.Time) bool {
	if !t.health.usable(now) {
		return false
	}
	if t.health.probation {
		return t.peers.Running == 0
	}
	if now.Sub(t.lastResponseAt) < recentResponseWindow {
		return true
	}
	if t.isEngine {
		return t.peers.ejectingHosts == 0
	}
	return t.peers.ejectingHosts < minEjectingHosts
}

func excludes(r *Request, name ident.Target) bool {
	for _, excluded := range r.ExcludedTargets {
		if excluded == name {
			return true
		}
	}
	return false
}
