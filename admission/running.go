package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// running is a request that holds a slot of a target, from the grant to its end.
type running struct {
	request Request
	target  *targetState
	team    *teamQueue
	granted time.Time
	// tokens is what it streamed so far.
	tokens int
	// charged is what its team was charged so far, in token-seconds.
	charged float64
	// preempted says that it was ordered to stop.
	preempted bool
}

// tokenSeconds returns the use of the request up to now.
func (r *running) tokenSeconds(now time.Time) float64 {
	return tokenSeconds(r.request.PromptTokens, r.tokens, now.Sub(r.granted))
}

// tokenSeconds is the use of a request that held its prompt for the whole time
// and its generated tokens for half of it on average. A request of a plain
// service counts as one token.
func tokenSeconds(prompt, tokens int, held time.Duration) float64 {
	return max(1, float64(prompt)+float64(tokens)/2) * max(0, held.Seconds())
}

// id returns the request's name.
func (r *running) id() ident.Request { return r.request.ID }
