package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// publishInterval is the time between two hints to another data centre, between
	// two snapshots and between two lists of crashes.
	publishInterval = 500 * time.Millisecond
	// forwarderPublishInterval is the time between two hints to a data centre that
	// forwards requests.
	forwarderPublishInterval = 50 * time.Millisecond
	// forwarderRetention is how long a data centre counts as forwarding after its
	// last forwarded request.
	forwarderRetention = 2 * time.Second
	// fullCrashInterval is the time between two publications of all known crashes. In
	// between, only changes are published.
	fullCrashInterval = 10 * time.Second
)

// publication decides when an owner publishes its state again.
type publication struct {
	// lastHintCheck is when hints were last checked for being due, lastSnapshot
	// when the last snapshot was taken.
	lastHintCheck time.Time
	lastSnapshot  time.Time
	// lastHint is when each data centre was last sent a hint, lastForward when it
	// last forwarded a request to this one.
	lastHint    map[ident.DataCentre]time.Time
	lastForward map[ident.DataCentre]time.Time
	// lastCrashes is when changes of the crashes were last published, lastAllCrashes
	// when all crashes were.
	lastCrashes    time.Time
	lastAllCrashes time.Time
}

func newPublication() publication {
	return publication{
		lastHint:    make(map[ident.DataCentre]time.Time),
		lastForward: make(map[ident.DataCentre]time.Time),
	}
}

// beginHintCheck reports whether hints may be due again, and counts that as a check.
func (p *publication) beginHintCheck(now time.Time) bool {
	if now.Sub(p.lastHintCheck) < forwarderPublishInterval {
		return false
	}
	p.lastHintCheck = now
	return true
}

// beginSnapshot reports whether a snapshot is due, and counts it as taken.
func (p *publication) beginSnapshot(now time.Time) bool {
	if now.Sub(p.lastSnapshot) < publishInterval {
		return false
	}
	p.lastSnapshot = now
	return true
}

// beginHint reports whether a hint to the data centre is due, and counts it as sent.
func (p *publication) beginHint(now time.Time, dc ident.DataCentre) bool {
	if now.Sub(p.lastHint[dc]) < p.hintInterval(now, dc) {
		return false
	}
	p.lastHint[dc] = now
	return true
}

func (p *publication) hintInterval(now time.Time, dc ident.DataCentre) time.Duration {
	if now.Sub(p.lastForward[dc]) < forwarderRetention {
		return forwarderPublishInterval
	}
	return publishInterval
}

// recordForward records that the data centre forwarded a request.
func (p *publication) recordForward(now time.Time, dc ident.DataCentre) { p.lastForward[dc] = now }

// beginCrashes returns the time from which on changed crashes are due, which is zero if
// all are, and counts them as published.
func (p *publication) beginCrashes(now time.Time) (since time.Time) {
	since = p.lastCrashes
	p.lastCrashes = now
	if now.Sub(p.lastAllCrashes) >= fullCrashInterval {
		p.lastAllCrashes, since = now, time.Time{}
	}
	return since
}
