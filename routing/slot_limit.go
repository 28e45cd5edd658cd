package routing

import "time"

const (
	gapSmoothing = 0.4
	// The slots are cut when the smoothed gap exceeds the objective by this factor.
	cutThreshold = 1.15
	// A slot is added when the smoothed gap is below this fraction of the objective.
	raiseThreshold = 0.85
	// minCutFactor is the smallest fraction of the slots that one cut leaves.
	minCutFactor = 0.25
	// raiseInterval is the minimum time from a change of the limit to the next
	// raise.
	raiseInterval = 500 * time.Millisecond
	// cutIntervalGaps is the minimum time from a change of the limit to the next
	// cut, as a multiple of the gap objective.
	cutIntervalGaps = 3
)

// SlotLimit is an adaptive concurrency limit for a target. It adds slots one by
// one and cuts them multiplicatively, to meet the pool's objective for the time
// between tokens.
type SlotLimit struct {
	ceiling      int
	gapObjective time.Duration
	limit        float64
	smoothedGap  float64
	lastChange   time.Time
}

// NewSlotLimit returns a limit that starts at its ceiling; a gapObjective of zero
// means none.
func NewSlotLimit(ceiling int, gapObjective time.Duration) *SlotLimit {
	return &SlotLimit{ceiling: ceiling, gapObjective: gapObjective, limit: float64(ceiling)}
}

// Configure changes the ceiling and the gap objective; zero means no objective.
func (l *SlotLimit) Configure(ceiling int, gapObjective time.Duration) {
	raised := ceiling > l.ceiling && l.limit >= float64(l.ceiling)
	l.ceiling = ceiling
	l.gapObjective = gapObjective
	l.limit = min(l.limit, float64(ceiling))
	if raised || gapObjective == 0 {
		l.limit = float64(ceiling)
	}
}

// Slots returns the current limit of concurrent requests.
func (l *SlotLimit) Slots() int {
	if l.ceiling <= 0 {
		return 0
	}
	return max(1, int(l.limit))
}

// Observe records a gap between tokens, or the time that the next token has been
// outstanding, and adjusts the limit.
func (l *SlotLimit) Observe(now time.Time, gap time.Duration, running int) {
	if l.gapObjective <= 0 {
		return
	}
	l.smooth(gap.Seconds())
	objective := l.gapObjective.Seconds()
	switch {
	case l.smoothedGap > cutThreshold*objective:
		l.cut(now, objective/l.smoothedGap, running)
	case l.smoothedGap < raiseThreshold*objective:
		l.raise(now, running)
	}
}

// RaiseIdle raises the limit of a target that has no running request and so
// yields no observations.
func (l *SlotLimit) RaiseIdle(now time.Time) {
	if l.limit < float64(l.ceiling) && now.Sub(l.lastChange) >= raiseInterval {
		l.smoothedGap = 0
		l.addSlot(now)
	}
}

func (l *SlotLimit) smooth(gap float64) {
	if l.smoothedGap == 0 {
		l.smoothedGap = gap
		return
	}
	l.smoothedGap += gapSmoothing * (gap - l.smoothedGap)
}

func (l *SlotLimit) cut(now time.Time, factor float64, running int) {
	if now.Sub(l.lastChange) < cutIntervalGaps*l.gapObjective {
		return
	}
	used := min(l.limit, float64(max(1, running)))
	l.limit = max(1, used*max(minCutFactor, factor))
	l.lastChange = now
}

func (l *SlotLimit) raise(now time.Time, running int) {
	full := running >= l.Slots()
	if full && now.Sub(l.lastChange) >= raiseInterval {
		l.addSlot(now)
	}
}

func (l *SlotLimit) addSlot(now time.Time) {
	l.limit = min(float64(l.ceiling), l.limit+1)
	l.lastChange = now
}
