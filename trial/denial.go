package trial

import "time"

// Cause is why no trial may begin.
type Cause string

const (
	// InProgress: another trial of the content is in flight.
	InProgress Cause = "in-progress"
	// Exhausted: the trials so far were the most that are allowed, or the last one crashed
	// its target a short time ago.
	Exhausted Cause = "exhausted"
)

// Denial says why no trial may begin, and when the next one may.
type Denial struct {
	Cause Cause
	// RetryAfter is when to ask again.
	RetryAfter time.Duration
}

// longer returns the one of two denials that lasts longer; nil stands for none.
func longer(a, b *Denial) *Denial {
	if a == nil || b != nil && b.RetryAfter > a.RetryAfter {
		return b
	}
	return a
}
