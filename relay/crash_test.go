package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/target"
)

func TestBrokenResponseIsNoCrashUnlessTargetIsGone(t *testing.T) {
	for _, c := range []struct {
		name        string
		probe       target.ProbeResult
		quarantined bool
	}{
		{"connection is refused", target.ProbeRefused, true},
		{"target accepts connections", target.ProbeConnected, false},
		{"target does not respond", target.ProbeFailed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, route.Route{Kind: route.NonIdempotent}, brokenResponse)
			f.client.probe = c.probe
			var last Result
			for range 3 {
				last, _ = f.call(context.Background(), nil)
			}
			if got := last.Refused.Reason == outcome.Quarantined; got != c.quarantined {
				t.Errorf("third attempt ended with %v, want quarantined: %v", last.Refused.Refusal, c.quarantined)
			}
		})
	}
}

func TestQuarantinedRequestIsNotCharged(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, brokenResponse)
	f.client.probe = target.ProbeRefused
	for range 2 {
		f.call(context.Background(), nil)
	}
	sent := len(f.client.dispatches)
	result, _ := f.call(context.Background(), nil)
	if result.Refused == nil || result.Refused.Outcome != outcome.NotRun || result.Refused.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a refusal with outcome not-run and Retry-After", result.Refused)
	}
	if len(f.client.dispatches) != sent {
		t.Error("the refused request was sent to a target")
	}
	if steps := f.observer.last.Steps; len(steps) != 1 || steps[0].Kind != StepQuarantined {
		t.Errorf("got steps %+v, want one without a charge to the quota", steps)
	}
}

// A retry within one attempt is refused like a new attempt, but the outcome is unknown.
func TestRetryOfCrashingRequestEndsWithUnknownOutcome(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 5}, brokenResponse)
	f.client.probe = target.ProbeRefused
	result, _ := f.call(context.Background(), nil)
	if result.Refused == nil || result.Refused.Reason != outcome.Quarantined || result.Refused.Outcome != outcome.Unknown {
		t.Errorf("got %+v, want a refusal because of the quarantine with outcome unknown", result.Refused)
	}
	if n := len(f.client.dispatches); n != 2 {
		t.Errorf("the request was sent to %d targets, want 2", n)
	}
}

func TestCrashThatShowsOnlyAsSilenceUntilTheDeadlineCounts(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent, Timeout: 50 * time.Millisecond}, hang)
	f.client.probe = target.ProbeFailed
	f.call(context.Background(), nil)
	f.awaitIdle(t)
	f.keepTargets(0)
	if n := len(f.relay.options.Dispatcher.Crashes(time.Now())); n != 1 {
		t.Errorf("%d crashes are known after the target's entry is gone, want 1", n)
	}
}
