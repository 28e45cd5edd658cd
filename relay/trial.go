package relay

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

const (
	// trialLeaseMargin is how much longer than its request a trial may count as in flight.
	trialLeaseMargin = time.Second
	// onTrialMessage is sent to callers of content whose trial is in flight.
	onTrialMessage = "another run of this content shows whether it crashes targets"
)

// beginTrial makes a run a trial if its content is a suspect. If no trial may begin, it frees
// the slot and returns the refusal.
func (x *execution) beginTrial(ctx context.Context, r *run) *outcome.Refusal {
	dispatcher := x.relay.options.Dispatcher
	suspects := dispatcher.suspectsIn(time.Now(), x.content)
	if r.counted || len(suspects) == 0 {
		return nil
	}
	dispatcher.awaitTrial(r.slot)
	if denial := x.acquireTrial(ctx, suspects); denial != nil {
		dispatcher.finish(r.slot, schedule.Abandoned)
		return x.trialRefusal(denial)
	}
	if refusal := x.quarantineRefusal(); refusal != nil {
		dispatcher.finish(r.slot, schedule.Abandoned)
		return refusal
	}
	r.trial, x.unusedTrial = x.unusedTrial, nil
	x.recordStep(Step{Kind: StepTrialBegun, Target: r.target.Name, TrialNumber: r.trial.Number()})
	dispatcher.recordTrial(r.slot)
	r.witness = trial.NewWitness(r.ctx, x.probeAddress, func() []trial.Observed { return dispatcher.witnesses(r.target) })
	return nil
}

// probeAddress probes the target at an address.
func (x *execution) probeAddress(ctx context.Context, address string) target.ProbeResult {
	return x.relay.options.TargetClient.Probe(ctx, route.Target{Address: address})
}

// acquireTrial sets unusedTrial, or returns why no trial may begin.
func (x *execution) acquireTrial(ctx context.Context, suspects []quarantine.Digest) *trial.Denial {
	if x.unusedTrial != nil {
		return nil
	}
	run, denial := x.relay.options.Trials.Begin(ctx, suspects, time.Until(x.deadline)+trialLeaseMargin)
	x.unusedTrial = run
	return denial
}

// withdrawTrial ends a trial with which no target was reached.
func (x *execution) withdrawTrial() {
	if x.unusedTrial != nil {
		x.unusedTrial.End(trial.Withdrawn)
		x.unusedTrial = nil
	}
}

// trialDenialRefusal returns the refusal of a request whose content is known to be denied a
// trial, or nil.
func (x *execution) trialDenialRefusal() *outcome.Refusal {
	suspects := x.relay.options.Dispatcher.suspectsIn(time.Now(), x.content)
	if len(suspects) == 0 {
		return nil
	}
	denial := x.relay.options.Trials.Denied(suspects)
	if denial == nil {
		return nil
	}
	return x.trialRefusal(denial)
}

// trialRefusal returns the refusal of a request whose content may not begin a trial.
func (x *execution) trialRefusal(denial *trial.Denial) *outcome.Refusal {
	reason, message := outcome.OnTrial, onTrialMessage
	if denial.Cause == trial.Exhausted {
		reason, message = outcome.Quarantined, schedule.QuarantineMessage
	}
	x.recordStep(Step{Kind: StepTrialDenied, Reason: reason, Cause: string(denial.Cause), RetryAfter: denial.RetryAfter})
	if x.mayHaveRun {
		return unknownOutcome(reason, message)
	}
	return outcome.Refuse(reason, message, denial.RetryAfter)
}

// endTrial ends the trial of a run, if it is one. A trial that reached no target is kept for
// the next run.
func (x *execution) endTrial(r *run, result trial.Result) {
	if r.trial == nil {
		return
	}
	switch result {
	case trial.Withdrawn:
		x.unusedTrial = r.trial
	case trial.Crashed:
		go x.judgeCrash(r)
	case trial.Survived, trial.Inconclusive:
		x.storeTrialEnd(r, result)
	}
}

// judgeCrash ends a trial that crashed its target. It is inconclusive if other targets ended
// at the same time.
func (x *execution) judgeCrash(r *run) {
	dispatcher := x.relay.options.Dispatcher
	dispatcher.recordLost(r.witness.Lost(context.Background()))
	result := trial.Inconclusive
	if _, quarantined := dispatcher.quarantinedUntil(time.Now(), x.content); quarantined {
		result = trial.Crashed
	}
	x.storeTrialEnd(r, result)
}

func (x *execution) storeTrialEnd(r *run, result trial.Result) {
	r.trial.EndConvicting(result, x.relay.options.Dispatcher.convictedIn(time.Now(), x.content))
	x.relay.options.Dispatcher.options.OnTrialEnd(x.content.Whole, r.target.Name, result)
}

// trialResult returns what a run showed about its content.
func trialResult(result schedule.Result, probe target.ProbeResult) trial.Result {
	switch result {
	case schedule.Served:
		return trial.Survived
	case schedule.Unreachable, schedule.Misaddressed:
		return trial.Withdrawn
	case schedule.Broken:
		if probe == target.ProbeRefused {
			return trial.Crashed
		}
	case schedule.Failed, schedule.Rejected, schedule.Abandoned:
	}
	return trial.Inconclusive
}
