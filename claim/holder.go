package claim

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Holder is the process that holds a claim.
type Holder struct {
	Host        ident.Host
	Incarnation uint64
	// ClaimedAt is when it claimed the key, according to its own clock.
	ClaimedAt time.Time
}
