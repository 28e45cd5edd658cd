package soak

import (
	"net/http"
	"slices"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// checkAnswered checks that each call has a complete response or an honest refusal before
// its deadline, if neither its host nor a target of its service was at fault meanwhile. A
// pause of a target is no fault.
func (r *runner) checkAnswered() verdict.Verdict {
	v := verdict.Verdict{Promise: AcceptedRequestAnswered}
	for _, c := range r.callers.calls {
		if c.host.faultSpans.overlaps(c.started, c.finished) || r.system.targetFault(c) {
			continue
		}
		v.Check(c.answered(), c.String)
	}
	return v
}

// answered reports whether a call has the whole response, a refusal, or used up its time.
func (c *call) answered() bool {
	return c.reply.Succeeded() || c.reply.Refused() || c.finished.Sub(c.started) >= deadline ||
		c.reply.Err == nil && (c.reply.Status == http.StatusNotFound || c.guest && c.reply.Status == http.StatusUnauthorized)
}

// targetFault reports whether a target of the call's service was at fault during the call.
func (s *system) targetFault(c *call) bool {
	return s.storms.overlaps(c.started, c.finished) || slices.ContainsFunc(s.targets, func(t *target) bool {
		return t.service == c.service() &&
			(t.faultSpans.overlaps(c.started, c.finished) || t.breakSpans.overlaps(c.started, c.finished))
	})
}
