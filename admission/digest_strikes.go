package admission

import "time"

// suspicion is what is held against one digest.
type digestStrikes struct {
	crashes []*targetCrash
	// told is the most strikes that another owner told of, until toldExpiry.
	remoteStrikes int
	remoteExpiry  time.Time
	confirmed     bool
	// expiry ends the quarantine of a convicted digest.
	expiry time.Time
}
