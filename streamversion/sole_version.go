package streamversion

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// SoleVersion says for how long a pool has had targets of one version only.
type SoleVersion struct {
	Pool    ident.Pool
	Version string
	Age     time.Duration
	// ListAge is the age of the list of targets that shows it.
	ListAge time.Duration
}
