package membership

import "time"

// memberRecord is the state kept for another member.
type memberRecord struct {
	Member

	// lastHeartbeat is when the member's last heartbeat arrived. It is also set when
	// the record is created and after a pause of this process, which restarts the
	// timeouts.
	lastHeartbeat time.Time
	// everAlive is set once the member has been alive.
	everAlive bool
	// needsProbation means that the dead member must send heartbeats without a gap for
	// the probation period before it is alive again.
	needsProbation bool
	// probationSince is when a dead member's heartbeats resumed; zero if none arrive.
	probationSince time.Time
	// dialRefusals counts refused connections since the member's last heartbeat.
	dialRefusals int

	diedAt   time.Time
	flaps    int
	lastFlap time.Time

	// Member.Leaving is true if either of these is.
	announcedLeaving bool
	hostListLeaving  bool
	// inHostList means that the platform's host list contains the member.
	inHostList bool
	// reportedAlive means that a host of the member's data centre last reported it
	// alive.
	reportedAlive bool
	// changedAt is when a field sent in member lists last changed.
	changedAt time.Time
}

// probationPassed reports whether a dead member's heartbeats have arrived without a
// gap for its probation period.
func (r *memberRecord) probationPassed(now time.Time) bool {
	return !r.probationSince.IsZero() && now.Sub(r.probationSince) >= probationPeriod(r.flaps)
}

// recordFlap counts one more unplanned death.
func (r *memberRecord) recordFlap(now time.Time) {
	if now.Sub(r.lastFlap) > flapRetention {
		r.flaps = 0
	}
	r.flaps++
	r.lastFlap = now
}
