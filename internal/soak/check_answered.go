package soak

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// checkAnswered checks that each call has a complete response or an honest refusal before
// its deadline, if neither its host nor a target that received it was at fault meanwhile. A
// pause of a target is no fault.
func (r *runner) checkAnswered() verdict.Verdict {
	v := verdict.Verdict{Promise: AcceptedRequestAnswered}
	receivers := r.system.receivers()
	for _, c := range r.callers.calls {
		if c.host.faultSpans.overlaps(c.started, c.finished) || anyFault(receivers[c.request.ID], c.started, c.finished) {
			continue
		}
		v.Check(c.answered(), c.String)
	}
	return v
}

// answered reports whether a call has the whole response, a refusal, or used up its time.
func (c *call) answered() bool {
	return c.reply.Succeeded() || c.reply.Refused() || c.finished.Sub(c.started) >= deadline ||
		c.reply.Err == nil && c.reply.Status == http.StatusNotFound
}

// receivers returns the targets that received each request, by request ID.
func (s *system) receivers() map[string][]*target {
	byID := make(map[string][]*target)
	for _, t := range s.targets {
		for _, request := range t.fake.Requests() {
			byID[request.RequestID()] = append(byID[request.RequestID()], t)
		}
	}
	return byID
}

func anyFault(targets []*target, from, to time.Time) bool {
	for _, t := range targets {
		if t.faultSpans.overlaps(from, to) {
			return true
		}
	}
	return false
}
