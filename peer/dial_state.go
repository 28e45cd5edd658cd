package peer

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// dialState decides when the next dial to one address may begin.
type dialState struct {
	inProgress bool
	// next is the earliest time of the next dial.
	nextDial time.Time
	// missed is since when a session has been missing.
	missingSince time.Time
	backoff      *backoff.ExponentialBackOff
}

func newDialState() dialState {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRedialDelay
	b.MaxInterval = maxRedialDelay
	return dialState{backoff: b}
}

// begin tells whether a dial begins now, and if not, how long to wait before
// asking again. If eager is false, the other side gets time to dial first.
func (d *dialState) tryBegin(now time.Time, immediate bool) (started bool, wait time.Duration) {
	if d.missingSince.IsZero() {
		d.missingSince = now
	}
	if d.inProgress {
		return false, maxDialCheckInterval
	}
	if remaining := d.nextDial.Sub(now); remaining > 0 {
		return false, remaining
	}
	if grace := dialGracePeriod - now.Sub(d.missingSince); !immediate && grace > 0 {
		return false, grace
	}
	d.inProgress = true
	return true, maxDialCheckInterval
}

// settle notes that the session is open.
func (d *dialState) clearMissing() {
	d.missingSince = time.Time{}
}

// succeeded notes that a session opened.
func (d *dialState) succeeded() {
	d.inProgress = false
	d.nextDial = time.Time{}
	d.missingSince = time.Time{}
	d.backoff.Reset()
}

// failed notes that a dial ended without a session.
func (d *dialState) failed(now time.Time) {
	d.inProgress = false
	d.nextDial = now.Add(d.backoff.NextBackOff())
}

// resting tells whether the last dial failed and the next one isn't due.
func (d *dialState) backingOff(now time.Time) bool {
	return !d.inProgress && now.Before(d.nextDial)
}
