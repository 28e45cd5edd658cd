package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/config"
)

const (
	defaultHeartbeat = 500 * time.Millisecond
	// suspectMisses is how many heartbeats may be missing.
	suspectAfterMissed = 3
	// deadMisses is how many missing heartbeats make a member dead.
	deadAfterMissed = 4
	// remoteFactor stretches all intervals towards other data centres, whose
	// hosts own none of this data centre's pools.
	remoteIntervalFactor = 2
	// refusalsToDead is how many refused connections in a row prove that a
	// process is gone.
	deadAfterRefusals = 2

	// baseProbation is how long a member must be heard steadily after its first
	// flap; each further flap doubles it.
	minProbation = time.Second
	maxProbation = 30 * time.Second
	// flapMemory is how long a flap counts.
	flapRetention = 10 * time.Minute
	// forgetAfter is how long a dead member is remembered.
	deadMemberRetention = 10 * time.Minute
	// relayRetry is how long a member that other hosts see alive stays dead here
	// after refused connections.
	reportedAliveRetry = 30 * time.Second
)

// timing is the intervals with the defaults filled in.
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

// probation is how long a member with that many flaps must be heard steadily
// before it counts again.
func probationPeriod(flaps int) time.Duration {
	d := minProbation
	for i := 1; i < flaps && d < maxProbation; i++ {
		d *= 2
	}
	return min(d, maxProbation)
}
