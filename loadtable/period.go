package loadtable

import "time"

// Period is the time from From on and before To. A zero time is no bound.
type Period struct{ From, To time.Time }

// Contains reports whether the time is in the period.
func (p Period) Contains(at time.Time) bool {
	return (p.From.IsZero() || !at.Before(p.From)) && (p.To.IsZero() || at.Before(p.To))
}
