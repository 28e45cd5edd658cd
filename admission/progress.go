package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Progress reports on a request in service.
type Progress struct {
	ID ident.Request
	// Tokens is the number of tokens streamed so far; the first one ends the
	// prefill.
	Tokens int
	// SinceDispatch is the time from dispatch to this report.
	SinceDispatch time.Duration
	// Prefill is the time from dispatch to the first token, or zero.
	Prefill time.Duration
	// Gap is the mean time between tokens since the previous report, or, while
	// no token has arrived since then, the time waited so far.
	Gap time.Duration
}
