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

func names(k *Tracker, now time.Time) int { return len(k.Snapshot(now).Targets) }

func TestEntryThatVanishesIsGone(t *testing.T) {
	k := NewTracker()
	k.SetEntries(at(0), entries("a", "b"))
	k.SetEntries(at(1), entries("a"))
	if got := names(k, at(1)); got != 1 {
		t.Errorf("%d targets are left, want 1", got)
	}
}

func TestEntryThatLapsedInAnOutageHasTimeToComeBack(t *testing.T) {
	k := NewTracker()
	k.SetEntries(at(0), entries("a", "b", "c"))
	k.RecordStoreCall(at(1), false)
	k.RecordStoreCall(at(5), true)
	k.SetEntries(at(5), entries("a"))
	if got := names(k, at(5)); got != 3 {
		t.Fatalf("right after the store's return %d targets are left, want 3", got)
	}
	k.SetEntries(at(6), entries("a", "b"))
	if got := names(k, at(6.8)); got != 3 {
		t.Errorf("%d targets are left within the grace, want 3", got)
	}
	if wait := k.UntilExpiry(at(6.8)); wait <= 0 || wait > time.Second {
		t.Errorf("the next look is in %v", wait)
	}
	if got := names(k, at(7.3)); got != 2 {
		t.Errorf("%d targets are left after the grace, want 2", got)
	}
	if wait := k.UntilExpiry(at(7.4)); wait != 0 {
		t.Errorf("nothing is missing, but the next look is in %v", wait)
	}
}

func TestLeavingTargetThatVanishesInAnOutageIsGone(t *testing.T) {
	k := NewTracker()
	leaving := entries("a", "b")
	leaving["b"] = route.Target{Name: "b", Draining: true}
	k.SetEntries(at(0), leaving)
	k.RecordStoreCall(at(1), false)
	k.RecordStoreCall(at(5), true)
	k.SetEntries(at(5), entries("a"))
	if got := names(k, at(5)); got != 1 {
		t.Errorf("%d targets are left, want 1", got)
	}
}

func TestEntryThatVanishesAfterAShortOutageIsGone(t *testing.T) {
	k := NewTracker()
	k.SetEntries(at(0), entries("a", "b"))
	k.RecordStoreCall(at(1), false)
	k.RecordStoreCall(at(1.5), true)
	k.SetEntries(at(1.6), entries("a"))
	if got := names(k, at(1.6)); got != 1 {
		t.Errorf("%d targets are left, want 1", got)
	}
}
