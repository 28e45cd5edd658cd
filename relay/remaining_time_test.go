package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

func TestLaterRunsAreGivenOnlyTheTimeThatIsLeft(t *testing.T) {
	const timeout, pause = 3 * time.Second, 600 * time.Millisecond
	slow := respondAfter(pause, failWith(DispatchError{Sent: true}))
	f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 3, LatencyObjective: time.Second}, slow, slow, respond(200, "ok"))
	f.call(context.Background(), func(c *Call) { c.Timeout = timeout })
	if len(f.client.dispatches) != 3 {
		t.Fatalf("%d dispatches, want 3", len(f.client.dispatches))
	}
	for i, d := range f.client.dispatches {
		if left := timeout - time.Duration(i)*pause; d.Timeout <= 0 || d.Timeout > left {
			t.Errorf("dispatch %d was given %v, want at most %v", i, d.Timeout, left)
		}
	}
}
