package pool

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
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
	// Run ends with ctx and returns no error.
	_ = periodic.Run(ctx, loadInterval, func(time.Time) {
		for _, target := range *o.loadTargets.Load() {
			o.pollLoad(ctx, target)
		}
	})
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
