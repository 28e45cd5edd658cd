package peer

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// dialState decides when the next dial to one address may begin.
type dialState struct {
	dialling bool
	// next is the earliest time of the next dial.
	next time.Time
	// missed is since when a session has been missing.
	missed  time.Time
	backoff *backoff.ExponentialBackOff
}

func newDialState() dialState {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRedial
	b.MaxInterval = maxRedial
	return dialState{backoff: b}
}

// begin tells whether a dial begins now, and if not, how long to wait before
// asking again. If eager is false, the other side gets time to dial first.
func (d *dialState) begin(now time.Time, eager bool) (begun bool, wait time.Duration) {
	if d.missed.IsZero() {
		d.missed = now
	}
	if d.dialling {
		return false, idlePlanInterval
	}
	if rest := d.next.Sub(now); rest > 0 {
		return false, rest
	}
	if grace := graceOfYounger - now.Sub(d.missed); !eager && grace > 0 {
		return false, grace
	}
	d.dialling = true
	return true, idlePlanInterval
}

// settle notes that the session is open.
func (d *dialState) settle() {
	d.missed = time.Time{}
}

// succeeded notes that a session opened.
func (d *dialState) succeeded() {
	d.dialling = false
	d.next = time.Time{}
	d.missed = time.Time{}
	d.backoff.Reset()
}

// failed notes that a dial ended without a session.
func (d *dialState) failed(now time.Time) {
	d.dialling = false
	d.next = now.Add(d.backoff.NextBackOff())
}

// resting tells whether the last dial failed and the next one isn't due.
func (d *dialState) resting(now time.Time) bool {
	return !d.dialling && now.Before(d.next)
}
