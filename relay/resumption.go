package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/streamversion"
)

// unknownVersionRetryAfter is the Retry-After if this host does not know where a stream
// began. Another host may know it.
const unknownVersionRetryAfter = 100 * time.Millisecond

// confirmTime bounds how long a caller that takes a stream up waits for the newest list of targets.
const confirmTime = 500 * time.Millisecond

// resumable reports whether the caller may take up the response at another host.
func (x *execution) resumable() bool { return x.route.Kind == route.Stream && x.route.Resumable }

// takesUp reports whether the caller takes up a stream that an earlier response began.
func (x *execution) takesUp() bool { return x.call.Resumes && x.resumable() }

// findOrigin finds the pool and the version that began a stream that the caller takes up.
// It returns the refusal if they are not known for sure, or if the route no longer allows
// the pool.
func (x *execution) findOrigin(ctx context.Context) *outcome.Refusal {
	if !x.takesUp() {
		return nil
	}
	origin, known := x.lookUpOrigin()
	if known && origin.Assumed {
		// The stream may have begun later than the list of targets was read, at a target that joined
		// meanwhile.
		known = x.confirmTargets(ctx) == nil
		if known {
			origin, known = x.lookUpOrigin()
		}
	}
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

func (x *execution) lookUpOrigin() (streamversion.Origin, bool) {
	return x.relay.options.Streams.Find(time.Now(), x.call.FirstAttempt, x.route.WeightedPools)
}

// confirmTargets returns nil once the list of targets is known as of a moment after the call's arrival.
func (x *execution) confirmTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	return x.relay.options.ConfirmTargets(ctx)
}

// confirmVersion waits for the newest list of targets if the remainder of a stream could go nowhere else
// than to targets whose entries this host has not read since it lost them.
func (x *execution) confirmVersion(ctx context.Context) {
	if x.versionKnown && x.relay.options.Dispatcher.entriesDue(x.pool, x.version, x.excludedTargets) {
		// Without the list, the scheduler refuses the request.
		_ = x.confirmTargets(ctx)
	}
}

// readEntries has the list of targets read if a resumable stream begins at a target that was lost, so
// that others that begin there can be taken up.
func (x *execution) readEntries(r *run) {
	if r.versionUnsure && x.resumable() && x.relay.options.Dispatcher.takeEntryRead(r.target.Name) {
		x.relay.options.ReadTargets()
	}
}

// recordBegin records where a resumable stream began, or went on.
func (x *execution) recordBegin(r *run) {
	first := x.firstAttempt()
	if !x.resumable() || first == "" {
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
