package test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/soak"
)

// TestSoakOfRestartingHostsThatWantManyRetries repeats the run in which restarts renewed the
// retry budget. On the command line: go run ./bench soak with the options below as flags.
func TestSoakOfRestartingHostsThatWantManyRetries(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
	}
	runSoak(t, soak.Options{
		Seed: 46, Duration: 12 * time.Second, Hosts: 2, Targets: 9, Callers: 3, HostFaults: 2, Storms: true, StormCallers: 16,
	})
}
