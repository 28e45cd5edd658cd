package soak

import (
	"fmt"

	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// checkAttempts checks that no request runs on more targets than its route allows.
func (r *runner) checkAttempts() verdict.Verdict {
	v := verdict.Verdict{Promise: AttemptsWithinLimit}
	for id, targets := range r.system.runningTargets() {
		v.Check(targets <= platformtest.MaxAttempts, func() string {
			return fmt.Sprintf("%s ran on %d targets, more than %d", id, targets, platformtest.MaxAttempts)
		})
	}
	return v
}

// runningTargets returns, by request ID, the number of targets that ran the request.
func (s *system) runningTargets() map[string]int {
	targets := make(map[string]int)
	for _, t := range s.targets {
		seen := make(map[string]bool)
		for _, request := range t.fake.Requests() {
			if id := request.RequestID(); !seen[id] {
				seen[id] = true
				targets[id]++
			}
		}
	}
	return targets
}
