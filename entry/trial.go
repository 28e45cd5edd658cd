package entry

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
)

// trialLeaseMargin is how much longer than its call a trial may count as in flight.
const trialLeaseMargin = time.Second

// beginTrial begins a trial if the grant requires one. It returns the refusal if none may
// begin.
func (x *execution) beginTrial(grant pool.Grant) *refusal {
	suspects := grant.Suspects()
	if len(suspects) == 0 || x.trial != nil || x.entry.options.Trials == nil {
		return nil
	}
	lease := time.Until(x.call.identity.deadline) + trialLeaseMargin
	run, denial := x.entry.options.Trials.Begin(x.ctx, suspects, lease)
	x.trial = run
	if denial == nil {
		return nil
	}
	if denial.Cause == trial.Exhausted {
		return x.notRun(outcome.Quarantined, "requests like this one crashed targets", denial.RetryAfter)
	}
	return x.notRun(outcome.OnTrial, "another run of this content shows whether it crashes targets", denial.RetryAfter)
}

// observeTrial observes other targets during the trial on a grant's target, until ctx ends.
func (x *execution) observeTrial(ctx context.Context, grant pool.Grant) {
	if x.trial != nil {
		on := grant.Target()
		x.witness = trial.NewWitness(ctx, target.Probe, func() []trial.Observed { return x.otherTargets(on) })
	}
}

// otherTargets returns the targets that a trial on the given one is compared with.
func (x *execution) otherTargets(on settings.Target) []trial.Observed {
	var others []trial.Observed
	for _, t := range x.entry.options.Settings.Current().PoolTargets(x.call.pool, on.DataCentre) {
		if t.Name != on.Name && !t.Leaving {
			others = append(others, trial.Observed{Name: t.Name, Address: t.Address})
		}
	}
	return others
}

// takeTrial returns the trial of the call, which the caller has to end, and its witness.
func (x *execution) takeTrial() (*trial.Run, *trial.Witness) {
	run, witness := x.trial, x.witness
	x.trial, x.witness = nil, nil
	return run, witness
}

// endTrial ends the trial of the call, if there is one.
func (x *execution) endTrial(result trial.Result) {
	run, _ := x.takeTrial()
	x.storeTrialEnd(run, result)
}

// storeTrialEnd stores the end of a trial; nil stands for none.
func (x *execution) storeTrialEnd(run *trial.Run, result trial.Result) {
	if run == nil {
		return
	}
	run.EndConvicting(result, x.convicted(run))
	x.record(timeline.Event{Kind: timeline.TrialEnded, Detail: x.call.content.Whole.String() + " " + result.String()})
}

// convicted returns the suspects of a trial that are convicted if it crashed its target. Which
// part of a prompt it was is decided by the owner of the pool, unless there is only one suspect.
func (x *execution) convicted(run *trial.Run) []quarantine.Digest {
	if suspects := run.Suspects(); len(suspects) == 1 {
		return suspects
	}
	return []quarantine.Digest{x.call.content.Whole}
}
