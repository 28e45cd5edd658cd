package routing

import "time"

const (
	gapSmoothing = 0.4
	// gapTolerance is the part by which a gap may exceed the promise.
	gapTolerance = 1.15
	// gapComfort is the part of the promise below which slots are added.
	gapComfort = 0.85
	// minCut bounds one cut of the slots.
	minCut = 0.25
	// raiseInterval is the least time between two raises by a slot.
	raiseInterval = 500 * time.Millisecond
	// cutGaps is the least time between two cuts, in promised gaps.
	cutGaps = 3
)

// SlotLimit holds the slots of a target down by the time between tokens that its
// pool promises.
type SlotLimit struct {
	ceiling int
	promise time.Duration
	limit   float64
	gap     float64
	changed time.Time
}

// NewSlotLimit returns a limit at its ceiling.
func NewSlotLimit(ceiling int, promise time.Duration) *SlotLimit {
	return &SlotLimit{ceiling: ceiling, promise: promise, limit: float64(ceiling)}
}

// Configure changes the ceiling and the promise; zero means no promise.
func (l *SlotLimit) Configure(ceiling int, promise time.Duration) {
	raised := ceiling > l.ceiling && l.limit >= float64(l.ceiling)
	l.ceiling = ceiling
	l.promise = promise
	l.limit = min(l.limit, float64(ceiling))
	if raised || promise == 0 {
		l.limit = float64(ceiling)
	}
}

// Slots returns how many requests may be in service at once.
func (l *SlotLimit) Slots() int {
	if l.ceiling <= 0 {
		return 0
	}
	return max(1, int(l.limit))
}

// Observe takes in a gap between tokens, or the time waited for one so far.
func (l *SlotLimit) Observe(now time.Time, gap time.Duration, inService int) {
	if l.promise <= 0 {
		return
	}
	l.smooth(gap.Seconds())
	promise := l.promise.Seconds()
	switch {
	case l.gap > gapTolerance*promise:
		l.cut(now, promise/l.gap, inService)
	case l.gap < gapComfort*promise:
		l.raise(now, inService)
	}
}

// RaiseIdle raises the limit of a target that nothing runs on.
func (l *SlotLimit) RaiseIdle(now time.Time) {
	if l.limit < float64(l.ceiling) && now.Sub(l.changed) >= raiseInterval {
		l.gap = 0
		l.add(now)
	}
}

func (l *SlotLimit) smooth(gap float64) {
	if l.gap == 0 {
		l.gap = gap
		return
	}
	l.gap += gapSmoothing * (gap - l.gap)
}

func (l *SlotLimit) cut(now time.Time, part float64, inService int) {
	if now.Sub(l.changed) < cutGaps*l.promise {
		return
	}
	used := min(l.limit, float64(max(1, inService)))
	l.limit = max(1, used*max(minCut, part))
	l.changed = now
}

func (l *SlotLimit) raise(now time.Time, inService int) {
	full := inService >= l.Slots()
	if full && now.Sub(l.changed) >= raiseInterval {
		l.add(now)
	}
}

func (l *SlotLimit) add(now time.Time) {
	l.limit = min(float64(l.ceiling), l.limit+1)
	l.changed = now
}
