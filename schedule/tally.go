package schedule

import (
	"math"
	"time"
)

// tallyMemory is the time constant with which past results count less.
const tallyMemory = 4 * time.Second

// tally counts good and bad results; older ones count less.
type tally struct {
	good float64
	bad  float64
	at   time.Time
}

func (t *tally) decay(now time.Time) {
	if !t.at.IsZero() && now.After(t.at) {
		factor := math.Exp(-now.Sub(t.at).Seconds() / tallyMemory.Seconds())
		t.good *= factor
		t.bad *= factor
	}
	t.at = now
}

func (t *tally) add(now time.Time, bad bool) {
	t.decay(now)
	if bad {
		t.bad++
		return
	}
	t.good++
}
