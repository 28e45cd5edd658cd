// Package periodic runs functions at fixed intervals and provides a cancellable sleep.
package periodic

import (
	"context"
	"time"
)

// Run calls do at each interval until ctx is done. It always returns nil, so that it
// can be an actor of a run.Group.
func Run(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
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
