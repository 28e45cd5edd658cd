package pool

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

func newTestOwner(now time.Time) *owner {
	return newOwner(ManagerOptions{
		Host:       "a",
		DataCentre: testCentre,
		Members:    newFakeMembers("a", threeHosts()),
		Sender:     fakeSender{network: newFakeNetwork(), host: "a"},
		Recorder:   timeline.Discard{},
		Scope:      tally.NoopScope,
		Logger:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Now:        func() time.Time { return now },
	}, key{dataCentre: testCentre, pool: testPool}, false)
}

// A rebuilt owner must not fall back to the settings that it was started with.
func TestRebuiltOwnerKeepsTheNewestSettings(t *testing.T) {
	now := time.Now()
	o := newTestOwner(now)
	snapshot := testSnapshot(1)
	o.config = admission.Config{Pool: *snapshot.Pools[testPool]}
	o.rebuild(now)

	added := settings.Target{Name: "added", Pool: testPool, DataCentre: testCentre, Slots: 3, ReportsLoad: true}
	configEvent{admission.Config{Pool: o.config.Pool, Targets: []settings.Target{added}}}.apply(o, now)
	if reporting := *o.loadTargets.Load(); len(reporting) != 1 || reporting[0].Name != "added" {
		t.Errorf("load is polled from %v, want only the added target", reporting)
	}
	o.rebuild(now.Add(time.Minute))
	if targets := o.scheduler.Snapshot().Targets; len(targets) != 1 || targets[0].Target != "added" {
		t.Errorf("after the rebuild the owner has the targets %v, want only the added one", targets)
	}
}

func TestRebuiltOwnerKeepsQuarantine(t *testing.T) {
	now := time.Now()
	o := newTestOwner(now)
	snapshot := testSnapshot(1)
	o.config = admission.Config{Pool: *snapshot.Pools[testPool]}
	o.rebuild(now)
	runs := []quarantine.Run{{Digest: 1}}
	crashEvent{[]quarantine.Crash{
		{Target: "t1", At: now.Add(-time.Second), Runs: runs}, {Target: "t2", At: now, Runs: runs},
	}}.apply(o, now)
	now = now.Add(time.Minute)
	o.rebuild(now)
	o.scheduler.Enqueue(now, admission.Request{ID: "again", Tier: "filing", Content: quarantine.Content{Whole: 1}, Deadline: now.Add(time.Hour)})
	actions := o.scheduler.Decide(now)
	if len(actions) != 1 {
		t.Fatalf("got actions %v, want one refusal", actions)
	}
	if refusal, ok := actions[0].(*admission.Refuse); !ok || refusal.Reason != outcome.Quarantined {
		t.Errorf("got action %+v, want a refusal because of the quarantine", actions[0])
	}
}
