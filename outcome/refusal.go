package outcome

import (
	"fmt"
	"time"
)

// Refusal is the final response to a request that was refused or stopped. It
// implements error.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Message is one short, human-readable sentence.
	Message string
	// RetryAfter is the delay after which to retry. Zero means that a retry won't help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// Refuse returns a Refusal for a request that did not run.
func Refuse(reason Reason, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Message: message, RetryAfter: retryAfter}
}
