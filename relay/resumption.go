package relay

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
)

// unknownVersionRetryAfter is the Retry-After if this host does not know where a stream
// began. Another host may know it.
const unknownVersionRetryAfter = 100 * time.Millisecond

// takesUp reports whether the caller takes up a stream that an earlier response began.
func (x *execution) takesUp() bool {
	return x.call.Resumes && x.route.Kind == route.Stream && x.route.Resumable
}

// findOrigin finds the pool and the version that began a stream that the caller takes up.
// It returns the refusal if they are not known for sure, or if the route no longer allows
// the pool.
func (x *execution) findOrigin() *outcome.Refusal {
	if !x.takesUp() {
		return nil
	}
	origin, known := x.relay.options.Streams.Find(time.Now(), x.call.FirstAttempt, x.route.WeightedPools)
	if !known {
		x.recordStep(Step{Kind: StepShed, Reason: outcome.VersionUnknown, RetryAfter: unknownVersionRetryAfter})
		return outcome.Refuse(outcome.VersionUnknown, "it is not known at which version the stream began", unknownVersionRetryAfter)
	}
	if !slices.ContainsFunc(x.route.WeightedPools, func(w route.WeightedPool) bool { return w.Pool == origin.Pool }) {
		x.recordStep(Step{Kind: StepShed, Reason: outcome.NoVersion})
		return outcome.Refuse(outcome.NoVersion, "the route no longer allows the pool that began the stream", 0)
	}
	x.pool, x.version, x.versionKnown = origin.Pool, origin.Version, true
	return nil
}

// recordBegin records where a resumable stream began, or went on.
func (x *execution) recordBegin(r *run) {
	first := x.firstAttempt()
	if x.route.Kind != route.Stream || !x.route.Resumable || first == "" {
		return
	}
	x.relay.options.Streams.RecordBegin(time.Now(), first, r.target, x.versionUnsure)
	x.relay.options.Dispatcher.options.OnStateChange()
}

// firstAttempt returns the caller's attempt that brought, or will bring, the first event.
func (x *execution) firstAttempt() ident.Request {
	if x.takesUp() {
		return x.call.FirstAttempt
	}
	return x.call.ID
}
