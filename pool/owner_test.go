package pool

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

// Guards against an owner that rebuilds its state after a pause with the settings
// that it was started with instead of the latest ones.
func TestRebuiltOwnerKeepsTheNewestSettings(t *testing.T) {
	now := time.Now()
	o := newOwner(ManagerOptions{
		Host:       "a",
		DataCentre: testCentre,
		Members:    newFakeMembers("a", threeHosts()),
		Sender:     fakeSender{network: newFakeNetwork(), host: "a"},
		Recorder:   timeline.Discard{},
		Scope:      tally.NoopScope,
		Logger:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Now:        func() time.Time { return now },
	}, key{dataCentre: testCentre, pool: testPool}, false)
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
