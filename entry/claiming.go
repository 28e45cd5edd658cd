package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

// findKept looks up what became of an earlier call with the same key, so that a
// resend costs no grant. It returns nil, nil if the key is free.
func (e *Entry) findKept(in *incoming, x *execution) (*claim.StoredResponse, *refusal) {
	c := x.call
	if !c.nonIdempotent {
		return nil, nil
	}
	if e.options.Claims == nil {
		return nil, noClaims()
	}
	ctx, cancel := context.WithDeadline(in.echo.Request().Context(), c.identity.deadline)
	defer cancel()
	defer context.AfterFunc(x.ctx, cancel)()
	finding := e.options.Claims.Lookup(ctx, c.claimRequest())
	e.metrics.claim(finding)
	return finding.Response, refused(finding.Refusal)
}

func noClaims() *refusal {
	return refused(outcome.Refuse(outcome.ClaimUnavailable, "this host keeps no claims", failedRetryAfter))
}

// writeKept answers a resend with the answer of the first run.
func (e *Entry) writeKept(in *incoming, kept *claim.StoredResponse) error {
	writer := in.echo.Response()
	header := writer.Header()
	header.Set(headerOutcome, string(outcome.Completed))
	header.Set(headerRequest, string(in.id))
	setKeptHeader(header, kept)
	writer.WriteHeader(kept.Status)
	_, _ = writer.Write(kept.Body)
	return nil
}

func setKeptHeader(header http.Header, kept *claim.StoredResponse) {
	header.Set(headerReplayed, "true")
	header.Set("Content-Length", strconv.Itoa(len(kept.Body)))
	if kept.ContentType != "" {
		header.Set("Content-Type", kept.ContentType)
	}
}

// claimKey claims the call's idempotency key. After that nobody else runs the
// call. The verdict counts if it returns false.
func (x *execution) claimKey() (verdict, bool) {
	finding := x.entry.options.Claims.Claim(x.ctx, x.call.claimRequest())
	x.entry.metrics.claim(finding)
	switch {
	case finding.Claim != nil:
		x.claim = finding.Claim
		x.kept = new(keeper)
		x.record(timeline.Event{Kind: timeline.Claimed})
		return verdict{}, true
	case finding.Response != nil:
		x.replayKept(finding.Response)
		return done(), false
	case x.ctx.Err() != nil && finding.Refusal.Outcome == outcome.NotRun:
		return failed(x.stoppedBeforeRun()), false
	default:
		return failed(refused(finding.Refusal)), false
	}
}

// replayKept passes on the answer of a call that was faster.
func (x *execution) replayKept(kept *claim.StoredResponse) {
	header := make(http.Header)
	setKeptHeader(header, kept)
	x.reply.begin(&replyHead{
		status:   kept.Status,
		header:   header,
		length:   int64(len(kept.Body)),
		verified: true,
	})
	_ = x.reply.put(x.ctx, kept.Body)
}

// settleClaim records what came of a claimed call.
func (x *execution) settleClaim(r *refusal) {
	switch {
	case x.claim == nil:
	case r == nil:
		x.claim.Complete(x.kept.answer())
	case r.Outcome == outcome.NotRun:
		x.claim.Release()
	default:
		x.claim.MarkUnknown()
	}
}
