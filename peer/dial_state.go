package peer

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// dialState determines when the next dial to one address may start.
type dialState struct {
	inProgress bool
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
	// missingSince is when the session was first found missing; zero if it is open.
	missingSince time.Time
	backoff      *backoff.ExponentialBackOff
}

func newDialState() dialState {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRedialDelay
	b.MaxInterval = maxRedialDelay
	return dialState{backoff: b}
}

// tryBegin marks a dial as started if one is due. Otherwise it returns how long to
// wait before trying again. Unless immediate is set, it first gives the remote host
// dialGracePeriod to dial.
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

// clearMissing records that the session is open.
func (d *dialState) clearMissing() {
	d.missingSince = time.Time{}
}

// succeeded records that a session opened, and resets the backoff.
func (d *dialState) succeeded() {
	d.inProgress = false
	d.nextDial = time.Time{}
	d.missingSince = time.Time{}
	d.backoff.Reset()
}

// failed records that a dial ended without a session, and schedules the next one.
func (d *dialState) failed(now time.Time) {
	d.inProgress = false
	d.nextDial = now.Add(d.backoff.NextBackOff())
}

// backingOff reports whether no dial is in progress and the next one is not yet due.
func (d *dialState) backingOff(now time.Time) bool {
	return !d.inProgress && now.Before(d.nextDial)
}
