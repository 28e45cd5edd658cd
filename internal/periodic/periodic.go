// Package periodic runs functions at fixed intervals and provides a cancellable sleep.
package periodic

import (
	"context"
	"time"
)

// start is what the intervals of all loops of this process are aligned to, so that one wake-up of an
// idle process serves several loops. It differs from process to process.
var start = time.Now()

// UntilNext returns the time until the next multiple of the interval since the start of the process.
func UntilNext(now time.Time, interval time.Duration) time.Duration {
	return interval - now.Sub(start)%interval
}

// Run calls do at each interval until ctx is done. It always returns nil, so that it
// can be an actor of a run.Group.
func Run(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
	if !Sleep(ctx, UntilNext(time.Now(), interval)) {
		return nil
	}
	do(time.Now())
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			do(now)
		}
	}
}
