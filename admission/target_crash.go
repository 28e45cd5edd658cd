package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

// targetCrash is one crash of a target's process, with the digests that were
// running there.
type targetCrash struct {
	at      time.Time
	digests []quarantine.Digest
}
