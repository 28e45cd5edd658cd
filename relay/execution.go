package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/trial"
)

// minUnreachable is the number of unreachable targets that are tried for a request even if
// that takes longer than its latency objective.
const minUnreachable = 4

// errDeadlineExceeded is the cancellation cause of a request whose deadline has passed.
var errDeadlineExceeded = errors.New("the request's time is over")

// execution is the state of one request from its acceptance to its final response.
type execution struct {
	relay *Relay
	call  *Call
	sink  Sink

	table *route.Table
	// tableCurrency is set if the configuration does not allow the request.
	tableCurrency TableCurrency

	route    *route.Route
	team     *route.Team
	content  quarantine.Content
	pool     ident.Pool
	deadline time.Time
	// cost is the request's cost in units of the team's quota. charged is set once
	// the quota was charged with it.
	cost            float64
	charged         bool
	excludedTargets []ident.Target
	// divertedTo is set to the hosts to choose from if the request is passed on.
	divertedTo []ident.Host

	// mu guards dispatches, unreachableTargets, mayHaveRun, delivery and the hedge while an
	// exchange is in progress.
	mu sync.Mutex
	// dispatches counts the dispatches that reached a target, unreachableTargets
	// those that did not.
	dispatches         int
	unreachableTargets int
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	queueTime  time.Duration
	target     ident.Target
	result     schedule.Result

	delivery delivery
	// version is the software version of the target that brought the first event, if
	// versionKnown is set. Only targets of this version may serve the remainder.
	// With versionUnsure, no target may.
	version       string
	versionKnown  bool
	versionUnsure bool
	// hedge supervises the current run; successor is the run that replaced the last one.
	hedge     *hedge
	successor *run
	// retryReserved is set while the retry budget has a retry reserved for the next run.
	retryReserved bool
	// unusedTrial is a trial that was begun for this request and has reached no target.
	unusedTrial *trial.Run

	// stepsTaken is set once the steps have been handed out; no more are added then.
	stepsMu    sync.Mutex
	steps      []Step
	stepsTaken bool
}

// run serves the request. It returns nil if a target's response was forwarded in
// full, and otherwise the refusal that ended the request.
func (x *execution) run(ctx context.Context) *outcome.Refusal {
	if refusal := x.admit(ctx); refusal != nil {
		return refusal
	}
	ctx, release := x.relay.withStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadlineExceeded)
	defer cancel()
	refusal := x.serve(ctx)
	if !x.mayHaveRun && x.charged {
		x.relay.options.Quotas.Refund(x.team, x.cost)
	}
	return refusal
}

// admit finds the route, authenticates the team and charges its quota.
func (x *execution) admit(ctx context.Context) *outcome.Refusal {
	x.relay.options.Dispatcher.readStates()
	x.table = x.relay.options.Table()
	if x.table == nil {
		return outcome.Refuse(outcome.NotReady, "no configuration has been loaded yet", notReadyRetryAfter)
	}
	x.route = x.table.Match(x.call.HostName, x.call.Path)
	if x.route == nil {
		return x.disallow(outcome.UnknownPool, "no route matches")
	}
	team, ok := x.table.Authenticate(x.route, x.call.Key)
	if !ok {
		return x.disallow(outcome.Unauthorized, "unknown API key")
	}
	x.team = team
	if refusal := x.gateRefusal(); refusal != nil {
		return refusal
	}
	x.content = quarantine.NewContent(quarantine.ContentDigest(x.teamName(), x.call.RequestURI, x.call.Body), x.call.promptParts())
	x.deadline = requestDeadline(x.call, x.route)
	x.pool = x.route.ChoosePool(randomFraction())
	if refusal := x.quarantineRefusal(); refusal != nil {
		return refusal
	}
	if refusal := x.trialDenialRefusal(); refusal != nil {
		return refusal
	}
	if refusal := x.findOrigin(ctx); refusal != nil {
		return refusal
	}
	if team == nil {
		x.recordStep(Step{Kind: StepAccepted})
		return nil
	}
	x.cost = team.Quota.Cost(x.call.PromptTokens + x.call.MaxOutput)
	decision := x.relay.options.Quotas.Admit(time.Now(), team, x.cost)
	if !decision.Allowed {
		x.recordStep(Step{Kind: StepQuotaExceeded, Quota: decision})
		return outcome.Refuse(outcome.QuotaExceeded, "the team's quota is exhausted", decision.RetryAfter)
	}
	x.charged = true
	x.recordStep(Step{Kind: StepAccepted, Quota: decision})
	return nil
}

// disallow refuses a request that the configuration does not allow. If a newer one may allow it, the
// caller is asked to come back.
func (x *execution) disallow(reason outcome.Reason, message string) *outcome.Refusal {
	x.tableCurrency = x.relay.tableCurrency(time.Now())
	if !x.tableCurrency.definite() {
		return outcome.Refuse(outcome.NotReady, message+" in a configuration that may be outdated", outdatedRetryAfter)
	}
	return outcome.Refuse(reason, message, 0)
}

// quarantineRefusal returns the refusal of a request whose content is quarantined, or nil.
// Such a request is not charged to the quota.
func (x *execution) quarantineRefusal() *outcome.Refusal {
	now := time.Now()
	until, quarantined := x.relay.options.Dispatcher.quarantinedUntil(now, x.content)
	if !quarantined {
		return nil
	}
	x.recordStep(Step{Kind: StepQuarantined, Reason: outcome.Quarantined, RetryAfter: until.Sub(now)})
	if x.mayHaveRun {
		return unknownOutcome(outcome.Quarantined, schedule.QuarantineMessage)
	}
	return outcome.Refuse(outcome.Quarantined, schedule.QuarantineMessage, until.Sub(now))
}

// serve dispatches the request, with retries, until it has a final response.
func (x *execution) serve(ctx context.Context) *outcome.Refusal {
	defer x.releaseRetry()
	defer x.withdrawTrial()
	for {
		r, refusal := x.nextRun(ctx)
		if refusal != nil {
			return refusal
		}
		if x.divertedTo != nil {
			return x.passOn(ctx, x.divertedTo)
		}
		x.recordStep(Step{Kind: StepPlaced, Target: r.target.Name, Version: r.target.Version, Inputs: r.inputs})
		if refusal := x.beginTrial(ctx, r); refusal != nil {
			return refusal
		}
		retry, refusal := x.attempt(ctx, r)
		if !retry {
			return refusal
		}
	}
}

// nextRun returns the run that replaced the last one, or waits for a slot for a new one. It
// sets divertedTo instead if the request is to be passed on to another host.
func (x *execution) nextRun(ctx context.Context) (*run, *outcome.Refusal) {
	if r := x.successor; r != nil {
		x.successor = nil
		x.releaseRetry()
		return r, nil
	}
	x.confirmVersion(ctx)
	request := x.request()
	action, err := x.relay.options.Dispatcher.acquire(ctx, request)
	if err != nil {
		x.queueTime += time.Since(request.Arrived)
		return nil, x.cancelledRefusal(ctx)
	}
	switch a := action.(type) {
	case *schedule.Refuse:
		x.queueTime += time.Since(request.Arrived)
		return nil, x.schedulerRefusal(a)
	case *schedule.Divert:
		x.divertedTo = a.Hosts
		return nil, nil
	case *schedule.Dispatch:
		x.dispatchRetry()
		x.queueTime += a.QueueTime
		r := newRun(ctx, a)
		x.readEntries(r)
		return r, nil
	default:
		panic(fmt.Sprintf("unknown action %T", action))
	}
}

// schedulerRefusal returns the final response to a request that the scheduler
// refused.
func (x *execution) schedulerRefusal(a *schedule.Refuse) *outcome.Refusal {
	x.recordStep(Step{Kind: StepShed, Inputs: a.Inputs, Reason: a.Reason, RetryAfter: a.RetryAfter, Reserved: a.Reserved})
	if x.mayHaveRun && a.Reason == outcome.Quarantined {
		return unknownOutcome(outcome.Quarantined, a.Message)
	}
	if x.mayHaveRun {
		return unknownOutcome(outcome.TargetFailed, "the target failed after the request had been sent, and no other target became available in time")
	}
	return outcome.Refuse(a.Reason, a.Message, a.RetryAfter)
}

// cancelledRefusal returns the final response to a request whose caller
// disconnected, whose deadline passed, or that is in progress when this host stops.
func (x *execution) cancelledRefusal(ctx context.Context) *outcome.Refusal {
	if errors.Is(context.Cause(ctx), errStopping) {
		return x.stoppingRefusal()
	}
	if !errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		return &outcome.Refusal{Outcome: x.outcome(), Reason: outcome.CallerDisconnected, Message: "the caller disconnected"}
	}
	return &outcome.Refusal{
		Outcome:    x.outcome(),
		Reason:     outcome.DeadlineExceeded,
		Message:    "the deadline of the request has passed",
		RetryAfter: rejectedRetryAfter,
	}
}

func (x *execution) outcome() outcome.Outcome {
	if x.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (x *execution) excludeTarget(name ident.Target) {
	if !slices.Contains(x.excludedTargets, name) {
		x.excludedTargets = append(slices.Clone(x.excludedTargets), name)
	}
}
