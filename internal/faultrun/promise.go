package faultrun

import "github.com/cornelyard/cornelyard/internal/verdict"

type (
	// Promise identifies one of the system's promises in reports.
	Promise = verdict.Promise
	// Verdict counts the checks and violations of one promise.
	Verdict = verdict.Verdict
)

// The promises that are checked, in the order of the requirements.
const (
	AtMostOneDispatch        Promise = "at-most-one-dispatch"
	TierOrder                Promise = "tier-order"
	CorrectResponse          Promise = "whole-answer"
	RefusedNotExecuted       Promise = "did-not-run"
	NonIdempotentOnce        Promise = "non-idempotent-once"
	NoRequestToLeavingTarget Promise = "leaving-target"
	GracefulShutdown         Promise = "planned-stop"
	NoSettingsRollback       Promise = "settings-never-back"
	EveryCallAnswered        Promise = "every-call-has-an-answer"
	NoFrameMissing           Promise = "no-frame-missing"
)

// Promises lists all promises.
var Promises = []Promise{
	AtMostOneDispatch, TierOrder, CorrectResponse, RefusedNotExecuted, NonIdempotentOnce,
	NoRequestToLeavingTarget, GracefulShutdown, NoSettingsRollback, EveryCallAnswered,
	NoFrameMissing,
}
