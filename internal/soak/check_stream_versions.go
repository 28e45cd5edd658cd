package soak

import (
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// maxMixedStreams is the number of streams that may hold events of two versions.
	maxMixedStreams = 2
	// minTakenUp is the number of streams taken up from which on the share that goes on counts,
	// and minTakenUpRatio its least ratio to the share of new streams that begin.
	minTakenUp      = 12
	minTakenUpRatio = 0.5
	// contactTime is how long before a call a host and the targets must have been without a
	// fault for the share to count.
	contactTime = propagationTime
)

// checkStreamVersions checks that streams, over all calls that took them up, hold events of
// one version only.
func (r *runner) checkStreamVersions() verdict.Verdict {
	v := verdict.Verdict{Promise: OneVersionPerStream}
	versions := make(map[*call]map[string]bool)
	for _, c := range r.callers.calls {
		if c.service() != platformtest.ModelService {
			continue
		}
		first := c
		if c.takesUp != nil {
			first = c.takesUp
		}
		if versions[first] == nil {
			versions[first] = make(map[string]bool)
		}
		addVersions(versions[first], c.reply.Body)
	}
	mixed := 0
	for first, held := range versions {
		if len(held) > 1 {
			mixed++
		}
		v.Check(len(held) <= 1 || mixed <= maxMixedStreams, first.String)
	}
	return v
}

// checkTakenUpStreams checks that streams are taken up about as often as new ones begin, at
// hosts and targets without a fault.
func (r *runner) checkTakenUpStreams() verdict.Verdict {
	v := verdict.Verdict{Promise: TakenUpStreamGoesOn}
	var begun, wentOn share
	for _, c := range r.callers.calls {
		if c.request.Path != platformtest.PathResumable || r.outOfTouch(c) {
			continue
		}
		if c.takesUp != nil {
			wentOn.add(c.eventCount() > 0)
		} else {
			begun.add(c.eventCount() > 0)
		}
	}
	v.Check(wentOn.total < minTakenUp || wentOn.ratio() >= minTakenUpRatio*begun.ratio(), func() string {
		return "went on: " + wentOn.String() + ", begun: " + begun.String()
	})
	return v
}

// outOfTouch reports whether the call's host or a target of its service had a fault, or the
// host was started, shortly before the call or during it.
func (r *runner) outOfTouch(c *call) bool {
	from := c.started.Add(-contactTime)
	if c.host.faultSpans.overlaps(from, c.finished) {
		return true
	}
	for _, t := range r.system.targets {
		if t.service == c.service() && t.faultSpans.overlaps(c.started.Add(-time.Second), c.finished) {
			return true
		}
	}
	return false
}
