package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/config"
)

const (
	defaultHeartbeat = 500 * time.Millisecond
	// suspectAfterMissed is the number of missed heartbeat intervals after which a
	// member is suspect.
	suspectAfterMissed = 3
	// deadAfterMissed is the number of missed heartbeat intervals after which a member
	// is dead.
	deadAfterMissed = 4
	// remoteIntervalFactor multiplies all intervals for members of other data centres,
	// which own none of this data centre's pools.
	remoteIntervalFactor = 2
	// deadAfterRefusals is the number of consecutive refused connections after which a
	// member is dead. They show that its process is gone, so there is no need to wait
	// for the timeout.
	deadAfterRefusals = 2

	// minProbation is the probation period after a member's first flap. It doubles
	// with each further flap, up to maxProbation.
	minProbation = time.Second
	maxProbation = 30 * time.Second
	// flapRetention is how long after the last flap the flap count is kept.
	flapRetention = 10 * time.Minute
	// deadMemberRetention is how long a dead member is kept in the view.
	deadMemberRetention = 10 * time.Minute
	// reportedAliveRetry is how long a member stays dead here, for example after
	// refused connections, while its data centre reports it alive.
	reportedAliveRetry = 30 * time.Second
)

// timing holds the failure detector's intervals with defaults applied.
type timing struct {
	heartbeat    time.Duration
	suspectAfter time.Duration
	deadAfter    time.Duration
}

func newTiming(c config.Timing) timing {
	t := timing{
		heartbeat:    c.Heartbeat.Std(),
		suspectAfter: c.SuspectAfter.Std(),
		deadAfter:    c.DeadAfter.Std(),
	}
	if t.heartbeat <= 0 {
		t.heartbeat = defaultHeartbeat
	}
	if t.suspectAfter <= 0 {
		t.suspectAfter = suspectAfterMissed * t.heartbeat
	}
	if t.deadAfter <= 0 {
		t.deadAfter = deadAfterMissed * t.heartbeat
	}
	return t
}

// probationPeriod returns how long heartbeats must arrive without a gap before a dead
// member with that many flaps is alive again.
func probationPeriod(flaps int) time.Duration {
	d := minProbation
	for i := 1; i < flaps && d < maxProbation; i++ {
		d *= 2
	}
	return min(d, maxProbation)
}
