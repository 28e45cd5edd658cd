// Package periodic runs a duty at intervals, and waits.
package periodic

import (
	"context"
	"time"
)

// Run calls do at each interval until ctx ends. It returns nil, so that it can be an
// actor of a group.
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
