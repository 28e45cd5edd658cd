package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Progress reports the progress of a running request.
type Progress struct {
	ID ident.Request
	// Tokens is the number of tokens streamed so far. The first token ends the
	// prefill.
	Tokens int
	// SinceDispatch is the time from dispatch to this report.
	SinceDispatch time.Duration
	// Prefill is the time from dispatch to the first token, or zero.
	Prefill time.Duration
	// Gap is the mean time between tokens since the previous report or, if none
	// arrived since then, the time waited so far.
	Gap time.Duration
}
