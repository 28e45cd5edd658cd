package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// trainEstimator serves requests one after another until the estimator is
// calibrated.
func trainEstimator(t *testing.T, s *Scheduler, now time.Time) time.Time {
	t.Helper()
	for n := range 50 {
		id := ident.Request(fmt.Sprintf("training-%d", n))
		r := testRequest(string(id), "bureau", "desk")
		r.Arrived, r.Deadline = now, now.Add(time.Minute)
		s.Enqueue(now, r)
		if got := describe(s.Decide(now)); len(got) != 1 {
			t.Fatalf("training request %d: got %v, want one action", n, got)
		}
		now = now.Add(50 * time.Millisecond)
		s.Progress(now, Progress{ID: id, Tokens: 1, SinceDispatch: 50 * time.Millisecond, Prefill: 50 * time.Millisecond})
		now = now.Add(time.Second)
		s.Progress(now, Progress{ID: id, Tokens: 100, SinceDispatch: 1050 * time.Millisecond, Gap: 10 * time.Millisecond})
		s.End(now, End{
			ID: id, Outcome: outcome.Completed, PromptTokens: 100, Tokens: 100,
			Prefill: 50 * time.Millisecond, Total: 1050 * time.Millisecond,
		})
		s.Decide(now)
	}
	return now
}

func TestNoShedWhileAllTargetsAreProbed(t *testing.T) {
	s := newTestScheduler(testConfig(1, 4))
	now := trainEstimator(t, s, epoch)
	if !s.estimator.Calibrated() {
		t.Fatal("the estimator is not calibrated, so nothing would be shed in any case")
	}
	crashing := testRequest("crashing", "bureau", "desk")
	crashing.Deadline = now.Add(time.Minute)
	s.Enqueue(now, crashing)
	s.Decide(now)
	s.End(now, End{ID: "crashing", Outcome: outcome.Interrupted, Reason: outcome.TargetFailed, TargetCrashed: true})
	for n := range 8 {
		r := testRequest(fmt.Sprintf("waiting-%d", n), "bureau", "filing")
		r.Arrived, r.Deadline = now, now.Add(30*time.Second)
		s.Enqueue(now, r)
	}
	if got := describe(s.Decide(now)); len(got) != 0 {
		t.Fatalf("got %v while the target is probed, want no action", got)
	}
	now = now.Add(time.Second)
	if got := describe(s.Decide(now)); len(got) == 0 || got[0] != "grant waiting-0" {
		t.Errorf("got %v after the backoff, want the first request granted", got)
	}
}
