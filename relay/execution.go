package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// maxUnreachable bounds the targets that are tried in vain for one request before
// any took it.
const maxUnreachable = 4

// errDeadline is the cause of the end of a request whose time is over.
var errDeadline = errors.New("the request's time is over")

// execution is one request in service.
type execution struct {
	// id names the execution in this process; callers may repeat theirs.
	id    ident.Request
	relay *Relay
	call  *Call
	sink  Sink

	table    *route.Table
	route    *route.Route
	team     *route.Team
	pool     ident.Pool
	deadline time.Time
	// cost is what the request counts in the team's quota, and charged says that
	// it was taken from there.
	cost    float64
	charged bool
	avoid   []ident.Target

	// dispatches counts the targets that the request reached, unreachable those
	// it did not.
	dispatches  int
	unreachable int
	// mayHaveRun says that a target may have run the request.
	mayHaveRun bool
	queued     time.Duration
	target     ident.Target
	result     schedule.Result

	relayed relayed
	steps   []Step
	// watchdog watches the present exchange.
	watchdog watchdog
}

// run returns the final answer that is still to be written, or nil.
func (x *execution) run(ctx context.Context) *outcome.Refusal {
	if refusal := x.admit(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	refusal := x.serve(ctx)
	if !x.mayHaveRun && x.charged {
		x.relay.options.Quotas.Refund(x.team, x.cost)
	}
	return refusal
}

// admit finds the route and checks the key and the quota.
func (x *execution) admit() *outcome.Refusal {
	x.table = x.relay.options.Table()
	if x.table == nil {
		return outcome.Refuse(outcome.NotReady, "no configuration is known yet", notReadyRetry)
	}
	x.route = x.table.Match(x.call.HostName, x.call.Path)
	if x.route == nil {
		return outcome.Refuse(outcome.UnknownPool, "no route matches", 0)
	}
	team, ok := x.table.Authenticate(x.route, x.call.Key)
	if !ok {
		return outcome.Refuse(outcome.Unauthorized, "the key is not known", 0)
	}
	x.deadline = deadlineOf(x.call, x.route)
	x.pool = x.route.ChoosePool(draw())
	if team == nil {
		x.step(Step{Kind: StepAccepted})
		return nil
	}
	x.team = team
	x.cost = team.Quota.Cost(x.call.PromptTokens + x.call.MaxOutput)
	verdict := x.relay.options.Quotas.Admit(time.Now(), team, x.cost)
	if !verdict.Allowed {
		x.step(Step{Kind: StepOverQuota, Quota: verdict})
		return outcome.Refuse(outcome.QuotaExceeded, "the team's quota is used up", verdict.RetryAfter)
	}
	x.charged = true
	x.step(Step{Kind: StepAccepted, Quota: verdict})
	return nil
}

// serve sends the request to targets until it has an answer.
func (x *execution) serve(ctx context.Context) *outcome.Refusal {
	for {
		action, err := x.relay.options.Dispatcher.acquire(ctx, x.request())
		if err != nil {
			return x.stopped(ctx)
		}
		switch a := action.(type) {
		case *schedule.Refuse:
			return x.refusedBySchedule(a)
		case *schedule.Dispatch:
			x.queued += a.QueueTime
			x.step(Step{Kind: StepPlaced, Target: a.Target.Name, Inputs: a.Inputs})
			again, refusal := x.attempt(ctx, a.Target)
			if !again {
				return refusal
			}
		}
	}
}

// request describes the call to the scheduler.
func (x *execution) request() schedule.Request {
	now := time.Now()
	r := schedule.Request{
		ID:              x.id,
		Pool:            x.pool,
		Rank:            schedule.Rank{Route: x.route.Priority},
		Arrived:         now,
		Objective:       x.call.Arrived.Add(x.route.LatencyObjective),
		Deadline:        x.deadline,
		AbandonTime:     x.leaves(),
		PromptTokens:    x.call.PromptTokens,
		OutputTokens:    x.expectedOutput(),
		PromptBlocks:    x.call.Parts,
		Retryable:       x.repeatable() && x.dispatches+1 < x.route.MaxAttempts,
		ExcludedTargets: x.avoid,
	}
	if x.team != nil {
		r.Team = x.team.Name
		r.Rank.Team = x.team.Priority
	}
	return r
}

const (
	// Callers leave a stream without an event after the longest of these: a fixed
	// time, and multiples of the route's objectives.
	leaveAfter           = 2 * time.Second
	leaveAfterObjectives = 4
	leaveAfterPauses     = 8
)

// leaves returns when the caller probably leaves if nothing arrives.
func (x *execution) leaves() time.Time {
	if x.route.Kind != route.Stream {
		return x.deadline
	}
	patience := max(leaveAfter, leaveAfterObjectives*x.route.LatencyObjective, leaveAfterPauses*x.route.EventGapObjective)
	if at := x.call.Arrived.Add(patience); at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// expectedOutput returns the caller's estimate, within its limit.
func (x *execution) expectedOutput() int {
	switch {
	case x.call.ExpectedOutput == 0:
		return x.call.MaxOutput
	case x.call.MaxOutput == 0:
		return x.call.ExpectedOutput
	default:
		return min(x.call.ExpectedOutput, x.call.MaxOutput)
	}
}

// refusedBySchedule is the end of a request for which no slot was found.
func (x *execution) refusedBySchedule(a *schedule.Refuse) *outcome.Refusal {
	x.step(Step{Kind: StepShed, Inputs: a.Inputs, Reason: a.Reason, RetryAfter: a.RetryAfter})
	if x.mayHaveRun {
		return interrupted(outcome.TargetFailed, "the target failed, and no other was free in time")
	}
	return outcome.Refuse(a.Reason, a.Message, a.RetryAfter)
}

// stopped is the end of a request whose caller left or whose time is over.
func (x *execution) stopped(ctx context.Context) *outcome.Refusal {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return &outcome.Refusal{Outcome: x.outcome(), Reason: outcome.CallerGone, Message: "the caller left"}
	}
	return &outcome.Refusal{
		Outcome:    x.outcome(),
		Reason:     outcome.DeadlineExceeded,
		Message:    "the request's time is over",
		RetryAfter: rejectedRetry,
	}
}

func (x *execution) outcome() outcome.Outcome {
	if x.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (x *execution) avoidTarget(name ident.Target) {
	if !slices.Contains(x.avoid, name) {
		x.avoid = append(slices.Clone(x.avoid), name)
	}
}
