package claim

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// heldRetryAfter is when to ask again for a request in progress.
	heldRetryAfter = time.Second
	// unavailableRetryAfter is when to come back during a platform outage.
	unavailableRetryAfter = 2 * time.Second
)

// A resend of a request that was claimed is the same request, so these are never
// not-run.

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
