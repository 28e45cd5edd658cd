package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

func TestEndOfALongSilentRunIsRecorded(t *testing.T) {
	t.Parallel()
	r := silentRoute(route.Idempotent)
	r.LatencyObjective, r.Timeout = 50*time.Millisecond, 12*time.Second
	f := newFixture(t, r, hang)
	f.exhaustBudget()
	f.call(context.Background(), nil)
	steps := f.observer.last.Steps
	if last := steps[len(steps)-1]; last.Kind != StepAttemptEnded {
		t.Errorf("the last of %d steps is %+v, want the end of the run", len(steps), last)
	}
}
