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
	// ExcludedTargets lists targets that must not be used.
	ExcludedTargets []ident.Target
	// Suspect marks a request that is suspected of crashing targets.
	Suspect bool
	// Arrived is the arrival time; the baseline policies order work by it.
	Arrived time.Time
}
