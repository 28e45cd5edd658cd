package admission

import "time"

// digestStrikes holds the strikes against one digest.
type digestStrikes struct {
	crashes []*targetCrash
	// remoteStrikes is the highest count reported by another owner. It is valid
	// until remoteExpiry.
	remoteStrikes int
	remoteExpiry  time.Time
	// confirmed says that the digest reached the threshold and is quarantined.
	confirmed bool
	// expiry is the end of the quarantine of a confirmed digest.
	expiry time.Time
}
