package admission

import "time"

// death is one failure of a target's process and what it had in service then.
type targetCrash struct {
	at      time.Time
	digests []Digest
}
