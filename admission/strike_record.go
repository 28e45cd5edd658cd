package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

// StrikeRecord is the strike count of a digest suspected of crashing targets,
// as one owner shares it with the others.
type StrikeRecord struct {
	Digest quarantine.Digest
	Count  int
	Expiry time.Time
}
