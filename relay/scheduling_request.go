package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// request returns the scheduler's view of the next run. Its ID is new, because the slot of the last
// one may not be free yet.
func (x *execution) request() schedule.Request {
	r := schedule.Request{
		ID:              x.relay.newID(),
		Route:           x.route.Name,
		Pool:            x.pool,
		Content:         x.content,
		Rank:            x.rank(),
		Arrived:         time.Now(),
		Objective:       x.objective(),
		Deadline:        x.deadline,
		AbandonTime:     x.abandonTime(),
		PromptTokens:    x.call.PromptTokens,
		OutputTokens:    x.expectedOutput(),
		BodyBytes:       len(x.call.Body),
		PromptBlocks:    x.call.PromptBlocks,
		Retryable:       x.retryable() && x.dispatches+1 < x.route.MaxAttempts,
		Resumable:       x.resumable(),
		ExcludedTargets: x.excludedTargets,
		Repeat:          x.dispatches > 0,
		RequiresVersion: x.versionKnown,
		Version:         x.version,
		MayPassOn:       x.mayPassOn(),
	}
	if x.team != nil {
		r.Team = x.team.Name
	}
	return r
}

// objective returns when the response, or its first event, must have arrived to be on
// time. The remainder of a stream is of use until its caller leaves.
func (x *execution) objective() time.Time {
	if x.delivery.headWritten {
		return x.abandonTime()
	}
	return x.call.ArrivalTime.Add(x.route.LatencyObjective)
}

const (
	// A caller is expected to abandon a stream after a gap without an event of the longest
	// of a fixed time and these multiples of the route's objectives.
	minAbandonTimeout     = 2 * time.Second
	abandonLatencyFactor  = 4
	abandonEventGapFactor = 8
)

// abandonTime returns when the caller is expected to disconnect if it has received
// nothing more by then.
func (x *execution) abandonTime() time.Time {
	if x.route.Kind != route.Stream {
		return x.deadline
	}
	timeout := max(minAbandonTimeout, abandonLatencyFactor*x.route.LatencyObjective, abandonEventGapFactor*x.route.EventGapObjective)
	at := x.lastProgress().Add(timeout)
	if now := time.Now(); at.Before(now) {
		// The caller is still connected, so it waits longer than expected.
		at = now.Add(timeout)
	}
	if at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// lastProgress returns when the caller last received events, or when its call arrived.
func (x *execution) lastProgress() time.Time {
	if x.delivery.lastEventTime.IsZero() {
		return x.call.ArrivalTime
	}
	return x.delivery.lastEventTime
}

// expectedOutput returns the caller's estimate of the output tokens, capped by the
// caller's limit. Without an estimate it returns the limit.
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
