package hoststate

import (
	"math"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// fullObservationInterval is the time after which observations are reported even without a
	// change that matters. Aggregates report them as often.
	fullObservationInterval = time.Second
	// observationRepeats is the number of reports of each change; a message may be lost.
	observationRepeats = 2
	// minFailureIncrease and minSpeedChange are the least changes that matter: a fraction of one
	// failed request, and a part of the speed that was reported.
	minFailureIncrease = 0.2
	minSpeedChange     = 0.1
)

// observationFilter selects the messages to a group of receivers that include observations.
// Receivers keep those of the last message that had them.
type observationFilter struct {
	fullAt   time.Time
	repeats  int
	reported map[ident.Target]schedule.Observation
}

// apply removes the observations from a state unless they are due. The caller must send it.
func (f *observationFilter) apply(now time.Time, s *schedule.State) {
	if !s.Observed {
		return
	}
	if now.Sub(f.fullAt) >= fullObservationInterval {
		f.repeats = max(f.repeats, 1)
	}
	if f.matters(s.Observations) {
		f.repeats = observationRepeats
	}
	if f.repeats == 0 {
		s.Observed, s.Observations = false, nil
		return
	}
	f.repeats--
	f.fullAt = now
	f.reported = make(map[ident.Target]schedule.Observation, len(s.Observations))
	for _, o := range s.Observations {
		f.reported[o.Target] = o
	}
}

// matters reports whether the observations differ from those reported last by more than the
// number of successes and the decay of old results.
func (f *observationFilter) matters(observations []schedule.Observation) bool {
	ejected := 0
	for i := range observations {
		o := &observations[i]
		last := f.reported[o.Target]
		if o.Ejected != last.Ejected || o.Failures > last.Failures+minFailureIncrease ||
			speedChanged(o.Speeds.PrefillRate, last.Speeds.PrefillRate) ||
			speedChanged(o.Speeds.EventInterval, last.Speeds.EventInterval) {
			return true
		}
		if o.Ejected {
			ejected++
		}
	}
	return ejected < f.ejected()
}

// ejected returns the number of targets that were reported as ejected.
func (f *observationFilter) ejected() int {
	n := 0
	for _, o := range f.reported {
		if o.Ejected {
			n++
		}
	}
	return n
}

func speedChanged(speed, reported float64) bool {
	return math.Abs(speed-reported) > minSpeedChange*reported
}
