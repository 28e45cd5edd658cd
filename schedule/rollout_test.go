package schedule

import (
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/rollout"
)

// versionedScheduler returns a scheduler with a target of each version: t0, t1 and so on. The
// random number of each request is drawn.
func versionedScheduler(drawn *float64, versions ...string) *Scheduler {
	s := New(Options{DataCentre: "near", Random: func() float64 { return *drawn }})
	s.EnableRollouts()
	s.announceVersions(0, versions...)
	return s
}

func (s *Scheduler) announceVersions(ms int, versions ...string) {
	snapshot := engines(make([]int, len(versions))...)
	for i, version := range versions {
		name := ident.Target(fmt.Sprintf("t%d", i))
		t := snapshot.Targets[name]
		t.Version, t.Slots = version, 4
		snapshot.Targets[name] = t
	}
	s.Configure(at(ms), pools(), snapshot)
}

func progressOf(version string, phase rollout.Phase, shareMilli int) rollout.Progress {
	return rollout.Progress{Order: rollout.OrderID{Row: 1}, Version: version, Phase: phase, Step: 1, ShareMilli: shareMilli}
}

// checkTarget enqueues a request and checks which target it goes to.
func checkTarget(t *testing.T, s *Scheduler, ms int, r Request, want ident.Target) {
	t.Helper()
	s.Enqueue(at(ms), r)
	if got := dispatched(t, s, ms)[r.ID]; got != want {
		t.Errorf("%s went to %q, want %q", r.ID, got, want)
	}
	s.Finish(at(ms), r.ID, Served)
}

// Guards against a version under judgement that gets more than its share, or repeated runs.
func TestRequestsGoToTheirSideOfARollout(t *testing.T) {
	drawn := 0.05
	s := versionedScheduler(&drawn, "v1", "v2")
	s.SetRollout(at(0), "p", progressOf("v2", rollout.InProgress, 100), false)
	checkTarget(t, s, 1, request("unconfirmed", 1, 0), "t0")
	s.SetRollout(at(2), "p", progressOf("v2", rollout.InProgress, 100), true)
	checkTarget(t, s, 3, request("within the share", 3, 0), "t1")
	repeated := request("repeated", 4, 0)
	repeated.Repeat = true
	checkTarget(t, s, 4, repeated, "t0")
	resumed := remainder("resumed", 5)
	resumed.Version = "v2"
	checkTarget(t, s, 5, resumed, "t1")
	drawn = 0.15
	checkTarget(t, s, 6, request("beyond the share", 6, 0), "t0")
	drawn = 0.05
	s.BlockRollout("p")
	checkTarget(t, s, 7, request("blocked", 7, 0), "t0")
}

// Guards against requests at a version that was rolled back.
func TestVersionThatWasRolledBackGetsNothing(t *testing.T) {
	drawn := 0.05
	s := versionedScheduler(&drawn, "v1", "v2")
	s.SetRollout(at(0), "p", progressOf("v2", rollout.InProgress, 1000), true)
	s.Enqueue(at(1), request("queued", 1, 0))
	s.SetRollout(at(2), "p", progressOf("v2", rollout.RolledBack, 0), false)
	if got := dispatched(t, s, 3)["queued"]; got != "t0" {
		t.Errorf("the queued request went to %q, want t0", got)
	}
	resumed := remainder("resumed", 4)
	resumed.Version = "v2"
	s.Enqueue(at(4), resumed)
	actions := s.Decide(at(4))
	if len(actions) != 1 {
		t.Fatalf("got %d actions, want a refusal", len(actions))
	}
	// A retry does not help, because the version does not come back.
	if refusal, ok := actions[0].(*Refuse); !ok || refusal.Reason != outcome.NoVersion || refusal.RetryAfter != 0 {
		t.Errorf("got %+v, want the refusal without retry because of the version", actions[0])
	}
}

// Guards against requests at old targets, which stop at the completion, and against a plain
// replacement that gets nothing because of an order long ago.
func TestOnlyReplacedTargetsGetNothingAfterCompletion(t *testing.T) {
	drawn := 0.5
	s := versionedScheduler(&drawn, "v1", "v2")
	s.SetRollout(at(0), "p", progressOf("v2", rollout.InProgress, 100), true)
	s.Enqueue(at(1), request("queued", 1, 0))
	s.SetRollout(at(2), "p", progressOf("v2", rollout.Completed, 1000), false)
	if got := dispatched(t, s, 3)["queued"]; got != "t1" {
		t.Errorf("the queued request went to %q, want t1", got)
	}
	s.announceVersions(4, "v1", "v2", "v3")
	s.announceVersions(2000, "v1", "v2", "v3")
	s.targets["t1"].leaving = true
	checkTarget(t, s, 2001, request("later", 2001, 0), "t2")
}

// Guards against an unjudged version that gets all requests because it counts as an old one.
func TestVersionOfSupersededOrderGetsNothing(t *testing.T) {
	drawn := 0.05
	s := versionedScheduler(&drawn, "v1", "v2")
	s.SetRollout(at(0), "p", progressOf("v2", rollout.InProgress, 100), true)
	former := progressOf("v1", rollout.InProgress, 0)
	former.Order.Row = 2
	s.SetRollout(at(1), "p", former, false)
	checkTarget(t, s, 2, request("r", 2, 0), "t0")
	if load := s.RolloutLoad("p", "v1"); load.Candidates != 1 || load.OldTargets != 0 {
		t.Errorf("load %+v, want one candidate and no old target", load)
	}
}

// Guards against a version that gets requests before its order was read, and against plain
// replacements that get nothing for longer than a second.
func TestTargetsOfNewVersionWaitForTheOrders(t *testing.T) {
	drawn := 0.05
	s := versionedScheduler(&drawn, "v1")
	s.announceVersions(0, "v1", "v2")
	if !s.TakeUnknownVersions() {
		t.Error("the new version is not reported as unknown")
	}
	s.targets["t0"].leaving = true
	for _, ms := range []int{1, 999} {
		if p := s.pools["p"]; p.hasCandidate(at(ms), &Request{pool: p}) {
			t.Errorf("after %d ms the new version may get requests", ms)
		}
	}
	checkTarget(t, s, 1001, request("later", 1001, 0), "t1")
	s.announceVersions(1100, "v1", "v2", "v3")
	s.ReleaseVersions()
	s.targets["t1"].leaving = true
	checkTarget(t, s, 1101, request("released", 1101, 0), "t2")
}

// Guards against changes where rollouts are not configured.
func TestWithoutRolloutsVersionsAreAlike(t *testing.T) {
	s := newScheduler(4)
	s.announceVersions(0, "v1")
	s.announceVersions(1, "v1", "v2")
	s.targets["t0"].leaving = true
	checkTarget(t, s, 2, request("r", 2, 0), "t1")
	if s.TakeUnknownVersions() {
		t.Error("a version is reported as unknown")
	}
}

// Guards against evidence that blames a version for callers, or misses requests that run out of
// time.
func TestEvidenceOfRuns(t *testing.T) {
	drawn := 0.05
	s := versionedScheduler(&drawn, "v1", "v2")
	p := progressOf("v2", rollout.InProgress, 1000)
	s.SetRollout(at(0), "p", p, true)
	for n, result := range []Result{Served, Failed, Broken, Rejected, Unreachable, Abandoned, Abandoned} {
		s.targets["t1"].health = health{}
		r := request(fmt.Sprintf("r%d", n), n, 0)
		s.Enqueue(at(n), r)
		if got := dispatched(t, s, n)[r.ID]; got != "t1" {
			t.Fatalf("%s went to %q, want t1", r.ID, got)
		}
		if n == 6 {
			s.RecordOutOfTime(r.ID)
		}
		s.Finish(at(n+40), r.ID, result)
	}
	var got rollout.Counts
	for key, counts := range s.RolloutReport("p", p.Order) {
		if key.Side == rollout.New {
			got.Add(counts)
		}
	}
	if got.Dispatched != 7 || got.Successes != 1 || got.Failures != 3 || got.FirstEvents.Count != 1 {
		t.Errorf("got %+v, want 7 dispatched, 1 success, 3 failures and 1 duration", got)
	}
}

// Guards against an overloaded host that is taken for a bad version: requests that waited at the
// host until little of their time was left run out of time at any target.
func TestRunsThatBeganTooLateAreNoEvidence(t *testing.T) {
	drawn := 0.05
	for waitedMs, want := range map[int]int{0: 1, 2900: 1, 3100: 0, 5900: 0} {
		s := versionedScheduler(&drawn, "v1", "v2")
		p := progressOf("v2", rollout.InProgress, 1000)
		s.SetRollout(at(0), "p", p, true)
		r := request("r", -waitedMs, 0)
		r.AbandonTime, r.Objective = r.Deadline, r.Deadline
		s.Enqueue(at(1), r)
		if got := dispatched(t, s, 1)[r.ID]; got != "t1" {
			t.Fatalf("waited %d ms: the request went to %q, want t1", waitedMs, got)
		}
		s.RecordOutOfTime(r.ID)
		s.Finish(at(6000-waitedMs), r.ID, Abandoned)
		failures := 0
		for _, counts := range s.RolloutReport("p", p.Order) {
			failures += counts.Failures
		}
		if failures != want {
			t.Errorf("waited %d of 6000 ms: %d failures, want %d", waitedMs, failures, want)
		}
	}
}
