package claim

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// heldRetryAfter is the retry delay for a request that is in progress.
	heldRetryAfter = time.Second
	// unavailableRetryAfter is the retry delay during a platform outage.
	unavailableRetryAfter = 2 * time.Second
)

// A repeated request whose key is claimed counts as the same request, which may have
// run. The outcome of the following four refusals is therefore never not-run.

func refuseHeld() *outcome.Refusal {
	return &outcome.Refusal{
		Outcome:    outcome.Unknown,
		Reason:     outcome.ClaimHeld,
		Message:    "a request with the same idempotency key is in progress",
		RetryAfter: heldRetryAfter,
	}
}

func refuseUnknown() *outcome.Refusal {
	return &outcome.Refusal{
		Outcome: outcome.Unknown,
		Reason:  outcome.ClaimUnknown,
		Message: "the request was claimed before and may have run; its result is not known",
	}
}

func refuseNotStored() *outcome.Refusal {
	return &outcome.Refusal{
		Outcome: outcome.Completed,
		Reason:  outcome.ClaimUnknown,
		Message: "the request ran to its end before; its answer was not kept",
	}
}

func refuseResponseUnavailable() *outcome.Refusal {
	return &outcome.Refusal{
		Outcome:    outcome.Completed,
		Reason:     outcome.ClaimUnavailable,
		Message:    "the request ran to its end before; its answer can't be read now",
		RetryAfter: unavailableRetryAfter,
	}
}

func refuseConflict() *outcome.Refusal {
	return outcome.Refuse(outcome.KeyConflict, "the idempotency key was used with another request", 0)
}

func refuseUnavailable() *outcome.Refusal {
	return outcome.Refuse(outcome.ClaimUnavailable,
		"the idempotency key can't be claimed now, so this attempt did not run", unavailableRetryAfter)
}
