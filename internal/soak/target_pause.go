package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// A sound target may pause for this long and go on.
	minTargetPause = 600 * time.Millisecond
	maxTargetPause = 1300 * time.Millisecond
)

// pauseTarget makes a target send nothing for a while and then go on, which is no fault.
func pauseTarget(ctx context.Context, s *system, random *rand.Rand) error {
	t := pick(random, s.targets)
	pause := minTargetPause + time.Duration(random.Int64N(int64(maxTargetPause-minTargetPause)))
	t.mu.Lock()
	t.pausedUntil = time.Now().Add(pause)
	t.mu.Unlock()
	periodic.Sleep(ctx, pause)
	return nil
}

// awaitPause waits for the end of a pause. It returns false if ctx ends first.
func (t *target) awaitPause(ctx context.Context) bool {
	t.mu.Lock()
	wait := time.Until(t.pausedUntil)
	t.mu.Unlock()
	return periodic.Sleep(ctx, max(wait, 0))
}
