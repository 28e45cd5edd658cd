package admission

import "time"

// suspicion is what is held against one digest.
type suspicion struct {
	deaths []*death
	// told is the most strikes that another owner told of, until toldExpiry.
	told       int
	toldExpiry time.Time
	convicted  bool
	// expiry ends the quarantine of a convicted digest.
	expiry time.Time
}
