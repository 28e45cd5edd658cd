package schedule

import (
	"testing"
	"time"
)

func TestTargetThatSaysThatItLeavesGetsNoMoreRequests(t *testing.T) {
	s := newScheduler(2)
	first := runOn(t, s, 0, request("first", 0, 0))
	if !s.RecordLeaving(first) || s.RecordLeaving(first) {
		t.Error("want the statement to be new once")
	}
	s.Enqueue(at(10), request("second", 10, 0))
	if sent := dispatched(t, s, 10); len(sent) != 0 {
		t.Errorf("dispatched %v to a target that leaves", sent)
	}
	next := engines(2)
	entry := next.Targets["t0"]
	entry.StartUnixMs = 7
	next.Targets["t0"] = entry
	s.Configure(at(20), pools(), next)
	s.Enqueue(at(20), request("third", 20, 0))
	if sent := dispatched(t, s, 20); sent["third"] != "t0" {
		t.Errorf("dispatched %v, want a request on the next process", sent)
	}
	if s.RecordLeaving(first) {
		t.Error("the statement of the former process counts for the next one")
	}
}

func TestTargetThatWantsAPauseGetsNothingUntilItsEnd(t *testing.T) {
	s := newScheduler(2)
	first := runOn(t, s, 0, request("first", 0, 0))
	s.RecordPause(at(10), first, time.Second)
	s.RecordPause(at(20), first, 100*time.Millisecond)
	s.Enqueue(at(30), request("second", 30, 0))
	for ms := 30; ms < 1010; ms += 20 {
		if sent := dispatched(t, s, ms); len(sent) != 0 {
			t.Fatalf("dispatched %v at %d ms, during the pause", sent, ms)
		}
	}
	s.Enqueue(at(1011), request("third", 1011, 0))
	if sent := dispatched(t, s, 1011); sent["third"] != "t0" {
		t.Errorf("dispatched %v after the pause, want one request", sent)
	}
}

func TestLeavingOfATargetBindsHostsThatDidNotHearIt(t *testing.T) {
	snapshot := engines(2)
	entry := snapshot.Targets["t0"]
	entry.StartUnixMs = 7
	snapshot.Targets["t0"] = entry
	here, there := newScheduler(2), newScheduler(2)
	here.Configure(at(0), pools(), snapshot)
	there.Configure(at(0), pools(), snapshot)
	here.RecordLeaving(entry)
	there.ApplyPeerState(at(10), "here", here.LocalState(at(10)))
	there.Enqueue(at(20), request("first", 20, 0))
	if sent := dispatched(t, there, 20); len(sent) != 0 {
		t.Errorf("dispatched %v to a target that leaves", sent)
	}
	next := engines(2)
	entry.StartUnixMs = 8
	next.Targets["t0"] = entry
	there.Configure(at(30), pools(), next)
	there.ApplyPeerState(at(40), "here", here.LocalState(at(40)))
	there.Enqueue(at(50), request("second", 50, 0))
	if sent := dispatched(t, there, 50); sent["second"] != "t0" {
		t.Errorf("dispatched %v, want a request on the next process", sent)
	}
}
