package slopes

import (
	"context"

	"github.com/cornelyard/cornelyard/internal/testbed"
)

// platformWindow is what all hosts used in a window, and the calls that reached
// the platform meanwhile.
type platformWindow struct {
	uses []usage
	// reads and writes are calls a second.
	reads  float64
	writes float64
}

// observeWithPlatform watches every host and the platform for one window.
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
