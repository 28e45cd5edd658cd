package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// End reports that a granted request has left its target.
type End struct {
	ID      ident.Request
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// PromptTokens and CachedTokens are as reported by the target, or
	// estimates.
	PromptTokens int
	CachedTokens int
	Tokens       int
	Prefill      time.Duration
	Total        time.Duration
	// ConnectionLost says that the connection to the target broke while the request was
	// running, and TargetCrashed that the target's process has ended.
	ConnectionLost bool
	TargetCrashed  bool
	// LostTargets holds other targets, which did not run the request, that ended at the same
	// time as the crashed one.
	LostTargets []ident.Target
	// TargetDraining says that the target refuses new work.
	TargetDraining bool
}
