package admission

import "time"

// StrikeRecord tells other owners about a digest that is suspected of crashing
// targets.
type StrikeRecord struct {
	Digest Digest
	Count  int
	Expiry time.Time
}
