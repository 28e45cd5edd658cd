package admission

import "time"

// StrikeRecord is the strike count of a digest suspected of crashing targets,
// as one owner shares it with the others.
type StrikeRecord struct {
	Digest Digest
	Count  int
	Expiry time.Time
}
