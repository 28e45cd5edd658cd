package roster

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func entries(names ...ident.Target) map[ident.Target]route.Target {
	targets := make(map[ident.Target]route.Target)
	for _, name := range names {
		targets[name] = route.Target{Name: name}
	}
	return targets
}

func targetCount(tracker *Tracker, now time.Time) int { return len(tracker.Snapshot(now).Targets) }

func TestTargetWithoutEntryIsRemoved(t *testing.T) {
	tracker := NewTracker()
	tracker.SetEntries(at(0), entries("a", "b"))
	tracker.SetEntries(at(1), entries("a"))
	if got := targetCount(tracker, at(1)); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

func TestEntryThatExpiredInAnOutageMayBeRenewedWithinTheGrace(t *testing.T) {
	tracker := NewTracker()
	tracker.SetEntries(at(0), entries("a", "b", "c"))
	tracker.RecordStoreCall(at(1), false)
	tracker.RecordStoreCall(at(5), true)
	tracker.SetEntries(at(5), entries("a"))
	if got := targetCount(tracker, at(5)); got != 3 {
		t.Fatalf("got %d targets right after the store's return, want 3", got)
	}
	tracker.SetEntries(at(6), entries("a", "b"))
	if got := targetCount(tracker, at(6.8)); got != 3 {
		t.Errorf("got %d targets within the renewal grace, want 3", got)
	}
	if wait := tracker.UntilExpiry(at(6.8)); wait <= 0 || wait > time.Second {
		t.Errorf("time until expiry is %v, want more than 0 and at most 1s", wait)
	}
	if got := targetCount(tracker, at(7.3)); got != 2 {
		t.Errorf("got %d targets after the renewal grace, want 2", got)
	}
	if wait := tracker.UntilExpiry(at(7.4)); wait != 0 {
		t.Errorf("time until expiry is %v although no target is missing, want 0", wait)
	}
}

func TestDrainingTargetIsRemovedAfterAnOutage(t *testing.T) {
	tracker := NewTracker()
	withDraining := entries("a", "b")
	withDraining["b"] = route.Target{Name: "b", Draining: true}
	tracker.SetEntries(at(0), withDraining)
	tracker.RecordStoreCall(at(1), false)
	tracker.RecordStoreCall(at(5), true)
	tracker.SetEntries(at(5), entries("a"))
	if got := targetCount(tracker, at(5)); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

func TestTargetIsRemovedAfterAShortOutage(t *testing.T) {
	tracker := NewTracker()
	tracker.SetEntries(at(0), entries("a", "b"))
	tracker.RecordStoreCall(at(1), false)
	tracker.RecordStoreCall(at(1.5), true)
	tracker.SetEntries(at(1.6), entries("a"))
	if got := targetCount(tracker, at(1.6)); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}
