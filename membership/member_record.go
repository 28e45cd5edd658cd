package membership

import "time"

// record is what is known of another member.
type memberRecord struct {
	Member

	// heard is the time of the last heartbeat from the member itself.
	lastHeartbeat time.Time
	// everAlive says that the member was alive at some time.
	everAlive bool
	// probation says that the dead member must be heard steadily before it
	// counts again.
	needsProbation bool
	// steadySince is when a dead member began to be heard again; zero if it
	// isn't heard.
	probationSince time.Time
	// refusals counts refused connections since the member was last heard.
	dialRefusals int

	diedAt   time.Time
	flaps    int
	lastFlap time.Time

	// saysLeaving and listedLeaving are the sources of Member.Leaving.
	announcedLeaving bool
	hostListLeaving  bool
	// listed says that the platform's host list has the member.
	inHostList bool
	// relayed says that a host of the member's data centre counts it.
	reportedAlive bool
	// changed is when a field that member lists carry last changed.
	changedAt time.Time
}

// steady tells whether a dead member has been heard long enough to count again.
func (r *memberRecord) probationPassed(now time.Time) bool {
	return !r.probationSince.IsZero() && now.Sub(r.probationSince) >= probationPeriod(r.flaps)
}

// flap counts one more death.
func (r *memberRecord) recordFlap(now time.Time) {
	if now.Sub(r.lastFlap) > flapRetention {
		r.flaps = 0
	}
	r.flaps++
	r.lastFlap = now
}
