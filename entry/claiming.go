package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

// findStoredResponse looks up an earlier call with the same idempotency key, so that
// a repeated request needs no grant. It returns nil, nil if the key is free.
func (e *Entry) findStoredResponse(in *incomingRequest, x *execution) (*claim.StoredResponse, *refusal) {
	c := x.call
	if !c.nonIdempotent {
		return nil, nil
	}
	if e.options.Claims == nil {
		return nil, claimsUnavailable()
	}
	ctx, cancel := context.WithDeadline(in.echo.Request().Context(), c.identity.deadline)
	defer cancel()
	defer context.AfterFunc(x.ctx, cancel)()
	finding := e.options.Claims.Lookup(ctx, c.claimRequest())
	e.metrics.recordClaim(finding)
	return finding.Response, wrapRefusal(finding.Refusal)
}

func claimsUnavailable() *refusal {
	return wrapRefusal(outcome.Refuse(outcome.ClaimUnavailable, "this host keeps no claims", failedRetryAfter))
}

// writeStoredResponse responds to a repeated request with the stored response.
func (e *Entry) writeStoredResponse(in *incomingRequest, stored *claim.StoredResponse) error {
	writer := in.echo.Response()
	header := writer.Header()
	header.Set(headerOutcome, string(outcome.Completed))
	header.Set(headerRequestID, string(in.id))
	setReplayHeaders(header, stored)
	writer.WriteHeader(stored.Status)
	_, _ = writer.Write(stored.Body)
	return nil
}

func setReplayHeaders(header http.Header, stored *claim.StoredResponse) {
	header.Set(headerReplayed, "true")
	header.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	if stored.ContentType != "" {
		header.Set("Content-Type", stored.ContentType)
	}
}

// claimKey claims the call's idempotency key, after which no other execution runs
// the call. If it returns false, the grantResult is the outcome.
func (x *execution) claimKey() (grantResult, bool) {
	finding := x.entry.options.Claims.Claim(x.ctx, x.call.claimRequest())
	x.entry.metrics.recordClaim(finding)
	switch {
	case finding.Claim != nil:
		x.claim = finding.Claim
		x.recorder = new(responseRecorder)
		x.record(timeline.Event{Kind: timeline.Claimed})
		return grantResult{}, true
	case finding.Response != nil:
		x.replayStoredResponse(finding.Response)
		return completedResult(), false
	case x.ctx.Err() != nil && finding.Refusal.Outcome == outcome.NotRun:
		return failedResult(x.stoppedBeforeRun()), false
	default:
		return failedResult(wrapRefusal(finding.Refusal)), false
	}
}

// replayStoredResponse sends the response of a concurrent call that claimed the key
// first.
func (x *execution) replayStoredResponse(stored *claim.StoredResponse) {
	header := make(http.Header)
	setReplayHeaders(header, stored)
	x.response.setHead(&responseHead{
		status:   stored.Status,
		header:   header,
		length:   int64(len(stored.Body)),
		verified: true,
	})
	_ = x.response.write(x.ctx, stored.Body)
}

// resolveClaim completes the call's claim, releases it if the call did not run, or
// else records that the result is unknown.
func (x *execution) resolveClaim(r *refusal) {
	switch {
	case x.claim == nil:
	case r == nil:
		x.claim.Complete(x.recorder.response())
	case r.Outcome == outcome.NotRun:
		x.claim.Release()
	default:
		x.claim.MarkUnknown()
	}
}
