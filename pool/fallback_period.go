package pool

import "time"

// fallbackDuration is how long this host schedules its own requests before it tries the
// owner again.
const fallbackDuration = 5 * time.Second

// fallbackPeriod is the period in which this host schedules its own requests, because
// the owner of a pool was unavailable. The zero value is over.
type fallbackPeriod struct {
	until time.Time
}

// newFallbackPeriod returns the period that begins now.
func newFallbackPeriod(now time.Time) fallbackPeriod {
	return fallbackPeriod{until: now.Add(fallbackDuration)}
}

func (p fallbackPeriod) includes(now time.Time) bool { return now.Before(p.until) }
