package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// closedGate admits nothing.
type closedGate struct{}

func (closedGate) Admits(time.Time, schedule.Rank) bool { return false }

// Guards against a refusal for a host that can't keep up which reaches a target, is charged to the quota or
// says nothing of a retry, and against streams that end because they are resumed at such a host.
func TestSaturatedHostRefusesNewRequestsOnly(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, respond(http.StatusOK, "yes"))
	f.relay.options.Gate = closedGate{}
	result, _ := f.call(context.Background(), nil)
	refused := result.Refused
	if refused == nil || refused.Status != http.StatusServiceUnavailable || refused.Outcome != outcome.NotRun ||
		refused.Reason != outcome.EntryOverloaded || refused.RetryAfter < minGateRetryAfter {
		t.Fatalf("refusal %+v, want 503 with a Retry-After", refused)
	}
	if dispatches := len(f.client.dispatches); dispatches != 0 {
		t.Errorf("%d dispatches, want none", dispatches)
	}
	if decision := f.quotas.Admit(time.Now(), f.team, 100); !decision.Allowed {
		t.Error("the refused request was charged to the quota")
	}
	for name, change := range map[string]func(*Call){
		"passed on": func(c *Call) { c.PassedOn = true },
		"resumed":   func(c *Call) { c.Resumes = true },
	} {
		if result, _ := f.call(context.Background(), change); result.Refused != nil && result.Refused.Reason == outcome.EntryOverloaded {
			t.Errorf("%s: refused", name)
		}
	}
}
