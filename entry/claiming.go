package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

// findStoredAnswer looks up what became of an earlier call with the same key, so that a
// resend costs no grant. It returns nil, nil if the key is free.
func (e *Entry) findStoredAnswer(in *incomingRequest, x *execution) (*claim.Answer, *refusal) {
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
	finding := e.options.Claims.Find(ctx, c.claimRequest())
	e.metrics.recordClaim(finding)
	return finding.Kept, wrapRefusal(finding.Refusal)
}

func claimsUnavailable() *refusal {
	return wrapRefusal(outcome.Refuse(outcome.ClaimUnavailable, "this host keeps no claims", failedRetryAfter))
}

// writeStoredAnswer answers a resend with the answer of the first run.
func (e *Entry) writeStoredAnswer(in *incomingRequest, kept *claim.Answer) error {
	writer := in.echo.Response()
	header := writer.Header()
	header.Set(headerOutcome, string(outcome.Completed))
	header.Set(headerRequestID, string(in.id))
	setReplayHeaders(header, kept)
	writer.WriteHeader(kept.Status)
	_, _ = writer.Write(kept.Body)
	return nil
}

func setReplayHeaders(header http.Header, kept *claim.Answer) {
	header.Set(headerReplayed, "true")
	header.Set("Content-Length", strconv.Itoa(len(kept.Body)))
	if kept.ContentType != "" {
		header.Set("Content-Type", kept.ContentType)
	}
}

// claimKey claims the call's idempotency key. After that nobody else runs the
// call. The verdict counts if it returns false.
func (x *execution) claimKey() (grantResult, bool) {
	finding := x.entry.options.Claims.Claim(x.ctx, x.call.claimRequest())
	x.entry.metrics.recordClaim(finding)
	switch {
	case finding.Claim != nil:
		x.claim = finding.Claim
		x.recorder = new(answerRecorder)
		x.record(timeline.Event{Kind: timeline.Claimed})
		return grantResult{}, true
	case finding.Kept != nil:
		x.replayStoredAnswer(finding.Kept)
		return completedResult(), false
	case x.ctx.Err() != nil && finding.Refusal.Outcome == outcome.NotRun:
		return failedResult(x.stoppedBeforeRun()), false
	default:
		return failedResult(wrapRefusal(finding.Refusal)), false
	}
}

// replayStoredAnswer passes on the answer of a call that was faster.
func (x *execution) replayStoredAnswer(kept *claim.Answer) {
	header := make(http.Header)
	setReplayHeaders(header, kept)
	x.response.setHead(&responseHead{
		status:   kept.Status,
		header:   header,
		length:   int64(len(kept.Body)),
		verified: true,
	})
	_ = x.response.write(x.ctx, kept.Body)
}

// resolveClaim records what came of a claimed call.
func (x *execution) resolveClaim(r *refusal) {
	switch {
	case x.claim == nil:
	case r == nil:
		x.claim.Complete(x.recorder.answer())
	case r.Outcome == outcome.NotRun:
		x.claim.Release()
	default:
		x.claim.Lose()
	}
}
