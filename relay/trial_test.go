package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/tabletest"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

// fixtureDigest is the digest of the fixture's calls.
func fixtureDigest() quarantine.Digest { return quarantine.ContentDigest("acme", "/x", nil) }

// suspect makes the content of the fixture's calls a suspect.
func (f *fixture) suspect() {
	now := time.Now()
	f.relay.options.Dispatcher.MergeCrashes(now, []quarantine.Crash{
		{Target: "elsewhere", Process: 1, At: now.Add(-time.Second), Runs: []quarantine.Run{{Digest: fixtureDigest()}}},
	})
}

// otherHost returns the ledger of another host.
func (f *fixture) otherHost() *trial.Ledger {
	return trial.NewLedger(trial.Options{Table: f.table, Host: "h2", Logger: discardLogger, Now: time.Now})
}

func TestSuspectIsRefusedWhileItRunsAtAnotherHost(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, respond(200, "yes"))
	f.suspect()
	if _, denial := f.otherHost().Begin(t.Context(), []quarantine.Digest{fixtureDigest()}, time.Minute); denial != nil {
		t.Fatal(denial)
	}
	for range 2 {
		result, _ := f.call(context.Background(), nil)
		if result.Refused == nil || result.Refused.Reason != outcome.OnTrial || result.Refused.Outcome != outcome.NotRun || result.Refused.RetryAfter <= 0 {
			t.Fatalf("got %+v, want a refusal because of the trial with outcome not-run and Retry-After", result.Refused)
		}
	}
	if n := len(f.client.dispatches); n != 0 {
		t.Errorf("the request was sent to %d targets, want none", n)
	}
}

// A target that crashed without the content speaks for the content, and so is no reason to refuse it.
func TestContentOfTargetsThatCrashedTogetherIsNotRefused(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, respond(200, "yes"))
	now := time.Now()
	f.relay.options.Dispatcher.MergeCrashes(now, []quarantine.Crash{
		{Target: "elsewhere", Process: 1, At: now, Runs: []quarantine.Run{{Digest: fixtureDigest()}}},
		{Target: "beside", Process: 1, At: now},
	})
	if result, sink := f.call(context.Background(), nil); sink.status != 200 {
		t.Errorf("got status %d and refusal %+v, want 200", sink.status, result.Refused)
	}
}

// tableWithDelay calls a function before each commit.
type tableWithDelay struct {
	*tabletest.Table
	before func()
}

func (t *tableWithDelay) Commit(ctx context.Context, change storage.Transaction) (uint64, error) {
	t.before()
	return t.Table.Commit(ctx, change)
}

// The target crashes before the request is sent to it.
func TestContentIsNotBlamedForCrashWhileItsTrialIsStored(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, respond(200, "yes"))
	f.keepTargets(1)
	f.suspect()
	crashed := targetSnapshot(1).Targets["t1"]
	table := &tableWithDelay{Table: f.table, before: func() { f.relay.options.Dispatcher.recordCrash(crashed) }}
	f.relay.options.Trials = trial.NewLedger(trial.Options{Table: table, Host: "h1", Logger: discardLogger, Now: time.Now})
	if result, sink := f.call(context.Background(), nil); sink.status != 200 {
		t.Errorf("got status %d and refusal %+v, want 200", sink.status, result.Refused)
	}
}

func TestServedTrialClearsContent(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, respond(200, "yes"))
	f.suspect()
	for range 2 {
		if result, sink := f.call(context.Background(), nil); result.Refused != nil || sink.status != 200 {
			t.Fatalf("got status %d and refusal %+v, want 200", sink.status, result.Refused)
		}
	}
	if steps := f.observer.last.Steps; steps[len(steps)-1].Kind != StepAttemptEnded || len(steps) != 3 {
		t.Errorf("the second request has steps %+v, want no trial", steps)
	}
}

func TestCrashOfTrialQuarantinesContent(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, brokenResponse)
	f.client.probe = target.ProbeRefused
	f.suspect()
	f.call(context.Background(), nil)
	if result, _ := f.call(context.Background(), nil); result.Refused.Reason != outcome.Quarantined {
		t.Errorf("got %+v, want a refusal because of the quarantine", result.Refused)
	}
}

func TestStalledTrialGetsNoSecondRun(t *testing.T) {
	r := route.Route{Kind: route.Idempotent, MaxAttempts: 3, LatencyObjective: 10 * time.Millisecond, Timeout: 700 * time.Millisecond}
	f := newFixture(t, r, hang, respond(200, "yes"))
	f.suspect()
	f.call(context.Background(), nil)
	if n := len(f.client.dispatches); n != 1 {
		t.Errorf("the request was sent to %d targets, want 1", n)
	}
}

func TestTrialThatReachesNoTargetDoesNotCount(t *testing.T) {
	unreachable := failWith(DispatchError{Result: schedule.Unreachable, NotRun: true})
	f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2}, unreachable, unreachable, unreachable, unreachable, respond(200, "yes"))
	f.suspect()
	if result, sink := f.call(context.Background(), nil); sink.status != 200 {
		t.Errorf("got status %d and refusal %+v, want 200", sink.status, result.Refused)
	}
}
