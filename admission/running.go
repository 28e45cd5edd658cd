package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/routing"
)

// running is a request that holds a slot of a target, from the grant to its end.
type running struct {
	request  Request
	deadline time.Time
	target   *targetState
	team     *teamQueue
	sequence uint64
	granted  time.Time
	length   routing.LengthEstimate
	// rawCost is the expected time in service before the calibration, in seconds.
	rawCost float64
	// expectedEnd is predicted from the tokens streamed so far.
	expectedEnd time.Time
	// tokens is what it streamed so far.
	tokens int
	// computed is the number of prompt tokens that were expected not to be
	// cached.
	computed int
	// prefillWork is computed and what was to be computed before it.
	prefillWork int
	prefilled   bool
	// charged is what its team was charged so far, in token-seconds.
	charged float64
	// preempted says that it was ordered to stop.
	preempted bool
	// beneficiary is the queued request that gets the slot of a preempted one.
	beneficiary *queued
	// death is the death of the target that it was in service at, or nil.
	death *death
	// suspect says that it counts in its target's suspects.
	suspect bool

	positions [runningKinds]int
}

// id returns the request's name.
func (r *running) id() ident.Request { return r.request.ID }

// tokenSeconds returns the use of the request up to now.
func (r *running) tokenSeconds(now time.Time) float64 {
	return tokenSeconds(r.request.PromptTokens, r.tokens, now.Sub(r.granted))
}

// missing says that the request is predicted to miss its deadline.
func (r *running) missing() bool { return r.expectedEnd.After(r.deadline) }

// sunk returns the prompt tokens computed and the tokens streamed so far.
func (r *running) sunk(now time.Time) int {
	if r.prefilled {
		return r.computed + r.tokens
	}
	predicted := r.target.Estimator.Prefill(now, r.prefillWork)
	part := now.Sub(r.granted).Seconds() / max(1e-3, predicted.Seconds())
	return int(float64(r.computed) * min(1, part))
}

// tokenSeconds is the use of a request that held its prompt for the whole time
// and its generated tokens for half of it on average. A request of a plain
// service counts as one token.
func tokenSeconds(prompt, tokens int, held time.Duration) float64 {
	return max(1, float64(prompt)+float64(tokens)/2) * max(0, held.Seconds())
}
