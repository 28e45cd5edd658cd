package soak

import (
	"testing"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

func TestRunsBeyondTheAttemptLimitAreDetected(t *testing.T) {
	r := newTestRunner(t)
	for range platformtest.MaxAttempts {
		fake := platformtest.NewTarget("")
		t.Cleanup(fake.Close)
		r.system.targets = append(r.system.targets, &target{fake: fake})
	}
	for _, to := range r.system.targets {
		sendTo(to, "too often")
	}
	for _, to := range r.system.targets[1:] {
		sendTo(to, "allowed")
	}
	r.system.targets[0].fake.SetRejecting(true)
	sendTo(r.system.targets[0], "allowed")
	checkViolations(t, r.checkAttempts(), 1)
}
