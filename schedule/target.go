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
	// paceMemory is the weight of a new observation of a target's pace.
	paceMemory = 0.2
)

// target is one replica as this host sees it.
type target struct {
	route.Target
	declared bool

	running int
	prefill int
	kv      int

	// others is the sum of what the other hosts have on it.
	others Load
	// surplus is load that nobody told of, and surplusAt when it was seen.
	surplus   int
	surplusAt time.Time

	health health
	// heard is when the target last sent anything to this host.
	heard time.Time
	// pace is the time between the events of a stream, in seconds; zero means
	// that it is not known.
	pace float64
}

// busy returns the slots in use by all hosts.
func (t *target) busy(now time.Time) int {
	busy := t.running + t.others.Running
	if now.Sub(t.surplusAt) < surplusMemory {
		busy += t.surplus
	}
	return busy
}

func (t *target) free(now time.Time) int { return t.Slots - t.busy(now) }

// reported takes in the load that a target told with an answer, which includes
// the request that was answered.
func (t *target) reported(now time.Time, load int) {
	t.surplus = max(0, load-t.running-t.others.Running)
	t.surplusAt = now
}

func (t *target) observePace(seconds float64) {
	if t.pace == 0 {
		t.pace = seconds
		return
	}
	t.pace += paceMemory * (seconds - t.pace)
}

// load returns what this host tells others of the target.
func (t *target) load(now time.Time) Load {
	t.health.results.decay(now)
	return Load{
		Target:        t.Name,
		Running:       t.running,
		PrefillTokens: t.prefill,
		KVTokens:      t.kv,
		Good:          t.health.results.good,
		Bad:           t.health.results.bad,
	}
}

// results returns the results of all hosts.
func (t *target) results(now time.Time) tally {
	t.health.results.decay(now)
	return tally{
		good: t.health.results.good + t.others.Good,
		bad:  t.health.results.bad + t.others.Bad,
	}
}

func avoids(r *Request, name ident.Target) bool {
	for _, avoided := range r.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}
