package roster

import (
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// entry returns the entry of a target's process.
func entry(name ident.Target, startUnixMs int64, draining bool) route.Target {
	return route.Target{Name: name, StartUnixMs: startUnixMs, Draining: draining}
}

func listOf(targets ...route.Target) map[ident.Target]route.Target {
	list := make(map[ident.Target]route.Target)
	for _, t := range targets {
		list[t.Name] = t
	}
	return list
}

func TestEntriesOfOlderCopyDoNotReviveTargets(t *testing.T) {
	cases := []struct {
		name string
		// known is the list before the store returned, copied the list of the copy.
		known, copied map[ident.Target]route.Target
		usable        bool
	}{
		{"draining", listOf(entry("a", 1, true)), listOf(entry("a", 1, false)), false},
		{"gone", listOf(), listOf(entry("a", 1, false)), false},
		{"draining, another process", listOf(entry("a", 1, true)), listOf(entry("a", 2, false)), true},
		{"ready", listOf(entry("a", 1, false)), listOf(entry("a", 1, false)), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.SetEntries(at(0), listOf(entry("a", 1, false)))
			tracker.SetEntries(at(5), c.known)
			tracker.RecordReturn(at(10))
			tracker.SetEntries(at(10.1), c.copied)
			a, listed := tracker.Snapshot(at(10.2)).Targets["a"]
			if usable := listed && !a.Draining; usable != c.usable {
				t.Errorf("the target is %+v, listed: %v; want usable: %v", a, listed, c.usable)
			}
			if !c.usable && tracker.UntilExpiry(at(10.2)) <= 0 {
				t.Error("no update is due for when the store is believed again")
			}
			a, listed = tracker.Snapshot(at(10 + returnGrace.Seconds())).Targets["a"]
			if !listed || a.Draining {
				t.Error("the store is not believed after the grace")
			}
		})
	}
}

func TestTargetMissingInOlderCopyIsKeptUntilItWritesAgain(t *testing.T) {
	tracker := NewTracker()
	tracker.SetEntries(at(0), listOf(entry("a", 1, false), entry("b", 1, false)))
	tracker.RecordReturn(at(10))
	tracker.SetEntries(at(10.1), listOf(entry("a", 1, false)))
	if _, listed := tracker.Snapshot(at(10.5)).Targets["b"]; !listed {
		t.Error("the target that is missing in the copy is not kept")
	}
	tracker.SetEntries(at(11), listOf(entry("a", 1, false), entry("b", 1, false)))
	if _, listed := tracker.Snapshot(at(13)).Targets["b"]; !listed {
		t.Error("the target that has written again is not listed")
	}
}

func TestTargetThatReturnedBeforeTheCopyIsNoDeparture(t *testing.T) {
	tracker := NewTracker()
	tracker.SetEntries(at(0), listOf(entry("a", 1, false)))
	tracker.SetEntries(at(1), listOf())
	tracker.SetEntries(at(2), listOf(entry("a", 1, false)))
	tracker.RecordReturn(at(10))
	tracker.SetEntries(at(10.1), listOf(entry("a", 1, false)))
	if _, listed := tracker.Snapshot(at(10.2)).Targets["a"]; !listed {
		t.Error("a target that is listed before and after the return is not used")
	}
}
