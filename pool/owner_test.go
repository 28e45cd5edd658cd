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

// An owner that was paused builds its state anew; it must not go back to the
// settings that it started with.
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
	if reporting := *o.reporting.Load(); len(reporting) != 1 || reporting[0].Name != "added" {
		t.Errorf("the load of %v is read, want that of the added target", reporting)
	}
	o.rebuild(now.Add(time.Minute))
	if targets := o.scheduler.Snapshot().Targets; len(targets) != 1 || targets[0].Target != "added" {
		t.Errorf("after a pause the owner knows the targets %v", targets)
	}
}
