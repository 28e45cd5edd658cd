package routing

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Work is what is to be placed on a target.
type Work struct {
	PromptTokens int
	Length       LengthEstimate
	// Prefix holds chained hashes of the prompt's leading blocks.
	Prefix []uint64
	// Avoid lists targets that must not be used.
	Avoid []ident.Target
	// Suspect says that the work may crash its target.
	Suspect bool
	// Arrived orders work for the baselines.
	Arrived time.Time
}
