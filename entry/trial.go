package entry

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
)

// trialLeaseMargin is how much longer than its call a trial may count as in flight.
const trialLeaseMargin = time.Second

// beginTrial begins a trial if the grant requires one. It returns the refusal if none may
// begin.
func (x *execution) beginTrial(grant pool.Grant) *refusal {
	if !grant.Trial() || x.trial != nil || x.entry.options.Trials == nil {
		return nil
	}
	lease := time.Until(x.call.identity.deadline) + trialLeaseMargin
	run, denial := x.entry.options.Trials.Begin(x.ctx, x.call.digest, lease)
	x.trial = run
	if denial == nil {
		return nil
	}
	if denial.Cause == trial.Exhausted {
		return x.notRun(outcome.Quarantined, "requests like this one crashed targets", denial.RetryAfter)
	}
	return x.notRun(outcome.OnTrial, "another run of this content shows whether it crashes targets", denial.RetryAfter)
}

// endTrial ends the trial of the call, if there is one.
func (x *execution) endTrial(result trial.Result) {
	if x.trial == nil {
		return
	}
	x.trial.End(result)
	x.trial = nil
	x.record(timeline.Event{Kind: timeline.TrialEnded, Detail: x.call.digest.String() + " " + result.String()})
}
