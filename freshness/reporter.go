package freshness

import (
	"slices"
	"time"
)

const (
	// reportInterval is the least time between two reports to the same hosts.
	reportInterval = 250 * time.Millisecond
	// transmissions is how often each statement is reported, because a message may be lost.
	transmissions = 2
	// roundingMs is by how many milliseconds the same moment may differ in two statements.
	roundingMs = 50
)

// Reporter chooses which messages to a group of hosts carry statements. It is not safe for concurrent
// use.
type Reporter struct {
	reportedAt time.Time
	reported   []Statement
	times      int
}

// Take returns the statements for a message, or nil if it needs none. The caller must send it.
func (r *Reporter) Take(now time.Time, statements func(now time.Time) []Statement) []Statement {
	if now.Sub(r.reportedAt) < reportInterval {
		return nil
	}
	current := statements(now)
	if len(current) == 0 {
		return nil
	}
	if !slices.EqualFunc(r.reported, current, sameStatement) {
		r.reported, r.times = current, 0
	}
	if r.times == transmissions {
		return nil
	}
	r.times++
	r.reportedAt = now
	return current
}

// sameStatement reports whether statements differ by no more than the rounding of their moments.
func sameStatement(a, b Statement) bool {
	difference := a.AsOfMs - b.AsOfMs
	return a.Table == b.Table && a.Digest == b.Digest && difference > -roundingMs && difference < roundingMs
}
