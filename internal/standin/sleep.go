package standin

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

// Sleep waits for d. If ctx is done first, it returns the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	if !periodic.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
