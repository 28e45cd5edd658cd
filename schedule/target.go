package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// surplusMemory is how long load counts that the target reported and no host
	// told of.
	surplusMemory = 700 * time.Millisecond
	// blindMemory is how long its mean counts while hosts are silent.
	blindMemory = 5 * time.Second
	// surplusWeight is the weight of a new report in the mean.
	surplusWeight = 0.3
)

// target is one replica as this host sees it.
type target struct {
	route.Target
	declared bool
	// engine says that it is a model engine.
	engine bool

	running int
	prefill int
	kv      int

	// others is the sum of what the other hosts tell of it.
	others othersLoad
	// near is the part of it that the hosts told themselves; the rest are sums of
	// other data centres.
	near othersLoad
	// surplus is load that nobody told of, and surplusAt when it was seen.
	// meanSurplus is its mean; it counts while hosts are silent.
	surplus     int
	surplusAt   time.Time
	meanSurplus float64
	// blind says that some hosts are not heard.
	blind bool

	health health
	// heard is when the target last sent anything to this host.
	heard time.Time
	// speeds is what this host saw of the target.
	speeds Speeds
}

// busy returns the slots in use by all hosts.
func (t *target) busy(now time.Time) int {
	busy := t.running + t.others.Running
	switch {
	case now.Sub(t.surplusAt) < surplusMemory:
		busy += t.surplus
	case t.blind && now.Sub(t.surplusAt) < blindMemory:
		busy += int(t.meanSurplus + 0.5)
	}
	return busy
}

func (t *target) free(now time.Time) int { return t.Slots - t.busy(now) }

// reported takes in the load that a target told with an answer, which includes
// the request that was answered.
func (t *target) reported(now time.Time, load int) {
	t.surplus = max(0, load-t.running-t.others.Running)
	t.surplusAt = now
	blend(&t.meanSurplus, float64(t.surplus), surplusWeight)
}

// seen returns the speeds of the target, as this host saw them, or else as the
// others did.
func (t *target) seen() Speeds {
	seen := t.speeds
	if seen.PrefillRate == 0 {
		seen.PrefillRate = t.others.meanSpeeds().PrefillRate
	}
	if seen.EventInterval == 0 {
		seen.EventInterval = t.others.meanSpeeds().EventInterval
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
		Successes: t.health.results.good,
		Failures:  t.health.results.bad,
	}
}

// minTold is the least decayed count that is worth telling.
const minTold = 0.1

func (o *Observation) worthTelling() bool {
	return o.Successes > minTold || o.Failures > minTold || o.Ejected || o.Speeds != (Speeds{})
}

// results returns the results of all hosts.
func (t *target) results(now time.Time) tally {
	t.health.results.decay(now)
	return tally{
		good: t.health.results.good + t.others.Good,
		bad:  t.health.results.bad + t.others.Bad,
	}
}

const (
	// heardMemory is how long an answer of a target outweighs other hosts' failures.
	heardMemory = time.Second
	// restingHosts is the number of hosts for which a plain service must rest to rest
	// for the others too; they hear each of them seldom. For an engine one suffices.
	restingHosts = 2
)

// stays says whether the target is announced and not leaving.
func (t *target) stays() bool { return t.declared && !t.Draining }

// usable says whether this host may send the target a request. A target that failed
// for several other hosts, and was not heard here lately, is left to their probes;
// one host at a time probes.
func (t *target) usable(now time.Time) bool {
	if !t.health.usable(now) {
		return false
	}
	if t.health.probation {
		return t.others.Running == 0
	}
	if now.Sub(t.heard) < heardMemory {
		return true
	}
	if t.engine {
		return t.others.resting == 0
	}
	return t.others.resting < restingHosts
}

func avoids(r *Request, name ident.Target) bool {
	for _, avoided := range r.ExcludedTargets {
		if avoided == name {
			return true
		}
	}
	return false
}
