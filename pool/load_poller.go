package pool

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/settings"
)

const (
	// loadInterval is the polling interval.
	loadInterval = time.Second
	// loadTimeout limits the fetch of one load report.
	loadTimeout = 500 * time.Millisecond
)

// pollLoads fetches the load reports of all targets that provide them until ctx
// ends.
func (o *owner) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, target := range *o.loadTargets.Load() {
			o.pollLoad(ctx, target)
		}
	}
}

func (o *owner) pollLoad(ctx context.Context, target settings.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := o.options.LoadReader.Load(ctx, target)
	if err != nil {
		return
	}
	o.offer("", loadEvent{report: report})
}
