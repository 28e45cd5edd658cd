package slopes

import (
	"context"

	"github.com/cornelyard/cornelyard/internal/testbed"
)

// platformWindow holds the resource usage of all hosts in a window and the rates of calls
// to the platform.
type platformWindow struct {
	uses []usage
	// reads and writes are in calls per second.
	reads  float64
	writes float64
}

// observeWithPlatform measures every host and the platform for one window.
func observeWithPlatform(ctx context.Context, o options, c *testbed.Cluster) (platformWindow, error) {
	before, err := c.Platform.Counts()
	if err != nil {
		return platformWindow{}, err
	}
	uses, err := observe(ctx, o.window, c.Hosts...)
	if err != nil {
		return platformWindow{}, err
	}
	after, err := c.Platform.Counts()
	if err != nil {
		return platformWindow{}, err
	}
	return platformWindow{
		uses:   uses,
		reads:  float64(after.Reads-before.Reads) / o.window.Seconds(),
		writes: float64(after.Writes-before.Writes) / o.window.Seconds(),
	}, nil
}
