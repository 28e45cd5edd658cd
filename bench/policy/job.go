package policy

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// job describes one call of the workload.
type job struct {
	due      time.Duration
	pool     ident.Pool
	team     ident.Team
	tier     ident.Tier
	deadline time.Duration
	host     int
	prompt   string
	// limit is the caller's limit on output tokens.
	limit int
}
