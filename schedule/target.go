package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// unattributedTTL is how long load counts that the target reported and no host
	// told of.
	unattributedTTL = 700 * time.Millisecond
	// meanUnattributedTTL is how long its mean counts while hosts are silent.
	meanUnattributedTTL = 5 * time.Second
	// unattributedWeight is the weight of a new report in the mean.
	unattributedWeight = 0.3
)

// target is one replica as this host sees it.
type target struct {
	route.Target
	configured bool
	// isEngine says that it is a model isEngine.
	isEngine bool

	running int
	prefill int
	kv      int

	// peers is the sum of what the other hosts tell of it.
	peers peerAggregate
	// directPeers is the part of it that the hosts told themselves; the rest are sums of
	// other data centres.
	directPeers peerAggregate
	// unattributed is load that nobody told of, and surplusAt when it was seen.
	// meanSurplus is its mean; it counts while hosts are silent.
	unattributed     int
	unattributedAt   time.Time
	meanUnattributed float64
	// peersMissing says that some hosts are not heard.
	peersMissing bool

	health health
	// lastResponseAt is when the target last sent anything to this host.
	lastResponseAt time.Time
	// speeds is what this host saw of the target.
	speeds Speeds
}

// busySlots returns the slots in use by all hosts.
func (t *target) busySlots(now time.Time) int {
	busy := t.running + t.peers.Running
	switch {
	case now.Sub(t.unattributedAt) < unattributedTTL:
		busy += t.unattributed
	case t.peersMissing && now.Sub(t.unattributedAt) < meanUnattributedTTL:
		busy += int(t.meanUnattributed + 0.5)
	}
	return busy
}

func (t *target) freeSlots(now time.Time) int { return t.Slots - t.busySlots(now) }

// recordReportedLoad takes in the load that a target told with an answer, which includes
// the request that was answered.
func (t *target) recordReportedLoad(now time.Time, load int) {
	t.unattributed = max(0, load-t.running-t.peers.Running)
	t.unattributedAt = now
	updateEWMA(&t.meanUnattributed, float64(t.unattributed), unattributedWeight)
}

// knownSpeeds returns the speeds of the target, as this host saw them, or else as the
// others did.
func (t *target) knownSpeeds() Speeds {
	seen := t.speeds
	if seen.PrefillRate == 0 {
		seen.PrefillRate = t.peers.meanSpeeds().PrefillRate
	}
	if seen.EventInterval == 0 {
		seen.EventInterval = t.peers.meanSpeeds().EventInterval
	}
	return seen
}

// load returns what this host has on the target.
func (t *target) load() TargetLoad {
	return TargetLoad{Target: t.Name, Running: t.running, PrefillTokens: t.prefill, KVTokens: t.kv}
}

// observation returns what this host saw of the target.
func (t *target) observation(now time.Time) Observation {
	t.health.results.decay(now)
	return Observation{
		Target:    t.Name,
		Speeds:    t.speeds,
		Ejected:   t.health.probation,
		Successes: t.health.results.successes,
		Failures:  t.health.results.failures,
	}
}

// minSignificantCount is the least decayed count that is worth telling.
const minSignificantCount = 0.1

func (o *Observation) significant() bool {
	return o.Successes > minSignificantCount || o.Failures > minSignificantCount || o.Ejected || o.Speeds != (Speeds{})
}

// allResults returns the allResults of all hosts.
func (t *target) allResults(now time.Time) resultCounts {
	t.health.results.decay(now)
	return resultCounts{
		successes: t.health.results.successes + t.peers.Successes,
		failures:  t.health.results.failures + t.peers.Failures,
	}
}

const (
	// recentResponse is how long an answer of a target outweighs other hosts' failures.
	recentResponse = time.Second
	// minEjectingHosts is the number of hosts for which a plain service must rest to rest
	// for the others too; they hear each of them seldom. For an engine one suffices.
	minEjectingHosts = 2
)

// inService says whether the target is announced and not leaving.
func (t *target) inService() bool { return t.configured && !t.Leaving }

// usable says whether this host may send the target a request. A target that failed
// for several other hosts, and was not heard here lately, is left to their probes;
// one host at a time probes.
func (t *target) usable(now time.Time) bool {
	if !t.health.usable(now) {
		return false
	}
	if t.health.probation {
		return t.peers.Running == 0
	}
	if now.Sub(t.lastResponseAt) < recentResponse {
		return true
	}
	if t.isEngine {
		return t.peers.ejectingHosts == 0
	}
	return t.peers.ejectingHosts < minEjectingHosts
}

func excludes(r *Request, name ident.Target) bool {
	for _, avoided := range r.ExcludedTargets {
		if avoided == name {
			return true
		}
	}
	return false
}
