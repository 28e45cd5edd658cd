package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/schedule"
)

// Gate refuses new requests while this host can't keep up. It is safe for concurrent use.
type Gate interface {
	// Admits decides on a new request of a rank.
	Admits(now time.Time, rank schedule.Rank) bool
}

const (
	// minGateRetryAfter and gateRetrySpread set the Retry-After of a request that the gate refuses.
	// It is short because the retry reaches another host, and spread so that callers of several
	// saturated hosts don't return at once.
	minGateRetryAfter = 100 * time.Millisecond
	gateRetrySpread   = 200 * time.Millisecond
)

// gateRefusal returns the refusal of a request for which this host has no time, or nil. Streams that
// are resumed, and requests for which another host found no target, are not refused.
func (x *execution) gateRefusal() *outcome.Refusal {
	gate := x.relay.options.Gate
	if gate == nil || x.call.Resumes || x.call.PassedOn || gate.Admits(time.Now(), x.rank()) {
		return nil
	}
	retryAfter := minGateRetryAfter + time.Duration(randomFraction()*float64(gateRetrySpread))
	x.recordStep(Step{Kind: StepShed, Reason: outcome.EntryOverloaded, RetryAfter: retryAfter})
	return outcome.Refuse(outcome.EntryOverloaded, "this host is saturated", retryAfter)
}

// rank returns the rank of the request.
func (x *execution) rank() schedule.Rank {
	rank := schedule.Rank{Route: x.route.Priority}
	if x.team != nil {
		rank.Team = x.team.Priority
	}
	return rank
}
