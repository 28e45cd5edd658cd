package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/routing"
)

// runningRequest is a request that holds a slot of a target, from its grant to
// its end.
type runningRequest struct {
	request  Request
	deadline time.Time
	target   *targetState
	team     *teamQueue
	sequence uint64
	granted  time.Time
	length   routing.LengthEstimate
	// uncalibratedCost is the expected running time in seconds, without the
	// calibration factor.
	uncalibratedCost float64
	// expectedEnd is predicted from the tokens streamed so far.
	expectedEnd    time.Time
	streamedTokens int
	// uncachedTokens is the number of prompt tokens expected to be missing from
	// the target's prefix cache.
	uncachedTokens int
	// prefillQueueTokens is uncachedTokens plus the tokens that the target was
	// to prefill before them.
	prefillQueueTokens int
	prefilled          bool
	// chargedTokenSeconds is what the request's team was charged so far.
	chargedTokenSeconds float64
	// preempted says that the request was ordered to stop.
	preempted bool
	// beneficiary is the queued request that gets the slot after a preemption,
	// or nil.
	beneficiary *queuedRequest
	// crashRecorded says that the crash of the request's target is recorded.
	crashRecorded bool
	// suspect says that the request is counted in its target's Suspects.
	suspect bool
	// trial says that the request was granted as the only run of its content.
	trial bool

	positions [runningKinds]int
}

func (r *runningRequest) id() ident.Request { return r.request.ID }

// tokenSeconds returns the usage of the request up to now.
func (r *runningRequest) tokenSeconds(now time.Time) float64 {
	return tokenSeconds(r.request.PromptTokens, r.streamedTokens, now.Sub(r.granted))
}

// missesDeadline reports whether the request is predicted to miss its deadline.
func (r *runningRequest) missesDeadline() bool { return r.expectedEnd.After(r.deadline) }

// spentTokens returns the prompt tokens computed and the tokens streamed so
// far, which a preemption would waste. During the prefill, the computed part is
// estimated from the elapsed time.
func (r *runningRequest) spentTokens(now time.Time) int {
	if r.prefilled {
		return r.uncachedTokens + r.streamedTokens
	}
	predicted := r.target.Estimator.Prefill(now, r.prefillQueueTokens)
	fraction := now.Sub(r.granted).Seconds() / max(1e-3, predicted.Seconds())
	return int(float64(r.uncachedTokens) * min(1, fraction))
}

// tokenSeconds is the usage of a request: it holds its prompt tokens for the
// whole time and its generated tokens for half of it on average. A request of a
// plain service counts as one token.
func tokenSeconds(prompt, tokens int, held time.Duration) float64 {
	return max(1, float64(prompt)+float64(tokens)/2) * max(0, held.Seconds())
}
