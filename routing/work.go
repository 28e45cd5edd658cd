package routing

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Work describes a request for routing.
type Work struct {
	PromptTokens int
	Length       LengthEstimate
	// Prefix holds the chained hashes of the prompt's leading blocks.
	Prefix []uint64
	// Avoid lists targets that must not be used.
	Avoid []ident.Target
	// Suspect marks a request that is suspected of crashing targets.
	Suspect bool
	// Arrived is the arrival time; the baseline policies order work by it.
	Arrived time.Time
}
