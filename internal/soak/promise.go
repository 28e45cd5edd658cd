package soak

import "github.com/cornelyard/cornelyard/internal/verdict"

// Promises of the platform documentation that are checked.
const (
	CorrectResponse          verdict.Promise = "own-whole-answer"
	NonIdempotentAtMostOnce  verdict.Promise = "non-idempotent-at-most-once"
	AcceptedRequestAnswered  verdict.Promise = "accepted-request-is-answered"
	RefusedNotExecuted       verdict.Promise = "refused-did-not-run"
	ResponseByDeadline       verdict.Promise = "final-answer-in-time"
	QuotaEnforced            verdict.Promise = "quota-in-every-window"
	NoRequestToLeavingTarget verdict.Promise = "nothing-to-leaving-targets"
	NoConfigurationRollback  verdict.Promise = "configuration-never-back"
	GracefulShutdown         verdict.Promise = "planned-stop-breaks-nothing"
	CrashingRequestContained verdict.Promise = "crashing-request-is-contained"
	AttemptsWithinLimit      verdict.Promise = "attempts-within-limit"
	TimeoutWithinCallers     verdict.Promise = "deadline-within-the-callers"
	RetriesWithinBudget      verdict.Promise = "retries-within-budget"
	NoUnexpectedExit         verdict.Promise = "hosts-end-only-when-told"
	OneVersionPerStream      verdict.Promise = "one-version-per-stream"
	TakenUpStreamGoesOn      verdict.Promise = "taken-up-streams-go-on"
	RevokedKeyRefused        verdict.Promise = "revoked-key-is-refused"
	RolloutEnds              verdict.Promise = "rollout-ends-by-its-deadline"
	RecoversAfterFaults      verdict.Promise = "serves-after-the-faults"
)
