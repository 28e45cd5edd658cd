package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
)

// crashFixture runs requests that are identified by their digest.
type crashFixture struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Time
	count     int
}

// startAll queues one request for each digest and returns those that were
// granted a slot.
func (f *crashFixture) startAll(digests ...quarantine.Digest) map[quarantine.Digest]Request {
	started := make(map[quarantine.Digest]Request)
	for _, digest := range digests {
		f.count++
		r := testRequest(fmt.Sprint(f.count), "shops", "desk")
		r.Content.Whole, r.Deadline = digest, f.now.Add(time.Hour)
		f.scheduler.Enqueue(f.now, r)
	}
	for _, action := range f.scheduler.Decide(f.now) {
		if grant, ok := action.(*Grant); ok {
			started[grant.Request.Content.Whole] = *grant.Request
		}
	}
	return started
}

// endAll ends requests. The target that runs the culprit's digest crashes.
func (f *crashFixture) endAll(started map[quarantine.Digest]Request, culprit quarantine.Digest) {
	crashed := ""
	if r, ok := started[culprit]; ok {
		crashed = string(f.scheduler.running[r.ID].target.Name)
	}
	digests := make([]quarantine.Digest, 0, len(started))
	for digest := range started {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	for _, digest := range digests {
		r := started[digest]
		e := End{ID: r.ID, Outcome: outcome.Completed, Tokens: 1, Total: time.Second}
		if string(f.scheduler.running[r.ID].target.Name) == crashed {
			e = End{ID: r.ID, Outcome: outcome.Unknown, Reason: outcome.TargetFailed, TargetCrashed: true}
		}
		f.scheduler.End(f.now, e)
	}
	f.now = f.now.Add(time.Minute)
	for _, target := range f.scheduler.targets {
		target.Breaker.RecordSuccess()
	}
}

func (f *crashFixture) expectQuarantined(want bool, digests ...quarantine.Digest) {
	f.t.Helper()
	for _, digest := range digests {
		if _, got := f.scheduler.crashes.QuarantinedUntil(f.now, quarantine.Content{Whole: digest}); got != want {
			f.t.Errorf("digest %d: quarantined = %v, want %v", digest, got, want)
		}
	}
}

func TestOnlyCrashingRequestIsQuarantined(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	f.endAll(f.startAll(1, 2, 3), 1)
	f.expectQuarantined(false, 1, 2, 3)
	f.endAll(f.startAll(1), 1)
	f.expectQuarantined(true, 1)
	f.scheduler.Enqueue(f.now, Request{ID: "again", Tier: "desk", Content: quarantine.Content{Whole: 1}, Deadline: f.now.Add(time.Hour)})
	if got := describe(f.scheduler.Decide(f.now)); !slices.Equal(got, []string{"refuse again quarantined"}) {
		t.Errorf("got %v, want the quarantined digest refused", got)
	}
	f.endAll(f.startAll(2, 3), 0)
	f.expectQuarantined(false, 2, 3)
	f.now = f.now.Add(quarantine.Duration)
	f.expectQuarantined(false, 1)
}

func TestSuspectsAreIsolated(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	f.endAll(f.startAll(1, 2), 1)
	started := f.startAll(1, 2, 3)
	if len(started) != 2 {
		t.Fatalf("%d requests run, want 2: one suspect and the request without a strike", len(started))
	}
	if _, ok := started[3]; !ok {
		t.Error("the request without a strike was not granted a slot")
	}
}

func TestInnocentBesideTwoCulpritsIsLetGo(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	const first, second, bystander = 1, 2, 3
	f.endAll(f.startAll(first, bystander), first)
	f.endAll(f.startAll(second, bystander), second)
	f.expectQuarantined(true, bystander)
	for range 3 {
		f.endAll(f.startAll(first), first)
	}
	f.expectQuarantined(true, first)
	for range 3 {
		f.endAll(f.startAll(second), second)
	}
	f.expectQuarantined(true, second)
	f.expectQuarantined(false, bystander)
}

func TestCrashesAtOtherOwnersCount(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	elsewhere := quarantine.Crash{Target: "elsewhere", At: f.now.Add(-time.Minute), Runs: []quarantine.Run{{Digest: 1}}}
	f.scheduler.MergeCrashes(f.now, []quarantine.Crash{elsewhere})
	f.scheduler.MergeCrashes(f.now, []quarantine.Crash{elsewhere})
	f.expectQuarantined(false, 1)
	f.endAll(f.startAll(1), 1)
	f.expectQuarantined(true, 1)
	elsewhere.Runs[0].Cleared = true
	f.scheduler.MergeCrashes(f.now, []quarantine.Crash{elsewhere})
	f.expectQuarantined(false, 1)
}

func TestCrashesOutliveScheduler(t *testing.T) {
	crashes := quarantine.NewTracker()
	for range 2 {
		f := &crashFixture{t: t, scheduler: New(Options{Crashes: crashes}), now: epoch.Add(time.Minute * time.Duration(len(crashes.Crashes(epoch))))}
		f.scheduler.Configure(f.now, testConfig(1, 4))
		f.endAll(f.startAll(1), 1)
	}
	f := &crashFixture{t: t, scheduler: New(Options{Crashes: crashes}), now: epoch.Add(2 * time.Minute)}
	f.expectQuarantined(true, 1)
}

func TestContentOnTargetsThatEndedTogetherIsNotQuarantined(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	f.endAll(f.startAll(1), 1)
	for _, r := range f.startAll(1) {
		f.scheduler.End(f.now, End{
			ID: r.ID, Outcome: outcome.Unknown, Reason: outcome.TargetFailed,
			TargetCrashed: true, LostTargets: []ident.Target{"elsewhere"},
		})
	}
	f.expectQuarantined(false, 1)
	f.now = f.now.Add(time.Minute)
	f.endAll(f.startAll(1), 1)
	f.expectQuarantined(true, 1)
}

func TestGrantOfSuspectIsATrial(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	f.endAll(f.startAll(1), 1)
	for digest, want := range map[quarantine.Digest]bool{1: true, 2: false} {
		r := testRequest(fmt.Sprint("r", digest), "shops", "desk")
		r.Content.Whole, r.Deadline = digest, f.now.Add(time.Hour)
		f.scheduler.Enqueue(f.now, r)
		for _, action := range f.scheduler.Decide(f.now) {
			if grant, ok := action.(*Grant); !ok || (len(grant.Suspects) > 0) != want {
				t.Errorf("digest %d: got action %+v, want a grant with trial %v", digest, action, want)
			}
		}
	}
}

func TestLostConnectionIsNoStrikeWhileTheTargetLives(t *testing.T) {
	f := &crashFixture{t: t, scheduler: newTestScheduler(testConfig(1, 4)), now: epoch}
	for range 3 {
		for _, r := range f.startAll(1) {
			f.scheduler.End(f.now, End{ID: r.ID, Outcome: outcome.Unknown, Reason: outcome.TargetFailed, ConnectionLost: true})
		}
		f.now = f.now.Add(time.Minute)
	}
	f.expectQuarantined(false, 1)
}
