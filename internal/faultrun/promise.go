package faultrun

import "github.com/cornelyard/cornelyard/internal/verdict"

type (
	// Promise names one of the system's promises.
	Promise = verdict.Promise
	// Verdict tells how often a promise was tried and how often broken.
	Verdict = verdict.Verdict
)

// Promises in the order of the brief.
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
)

// Promises lists all promises.
var Promises = []Promise{
	AtMostOneDispatch, TierOrder, CorrectResponse, RefusedNotExecuted, NonIdempotentOnce,
	NoRequestToLeavingTarget, GracefulShutdown, NoSettingsRollback, EveryCallAnswered,
}
