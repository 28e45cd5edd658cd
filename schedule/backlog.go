package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Backlog is what one host has queued in one pool at one rank.
type Backlog struct {
	Pool  ident.Pool
	Rank  Rank
	Count int
	// Slack is how long the most urgent of these requests can still wait.
	Slack time.Duration
}
