package admission

import "time"

// StrikeRecord is the strike count of a digest suspected of crashing targets,
// as shared between owners.
type StrikeRecord struct {
	Digest Digest
	Count  int
	Expiry time.Time
}
