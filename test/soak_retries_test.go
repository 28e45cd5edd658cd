package test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/soak"
)

// The options are flags of go run ./bench soak.
func TestSoakOfRestartingHostsThatWantManyRetries(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
	}
	runSoak(t, soak.Options{
		Seed: 46, Duration: 12 * time.Second, Hosts: 2, Targets: 9, Callers: 3, HostFaults: 2, Storms: true, StormCallers: 16,
	})
}
