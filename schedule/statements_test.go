package schedule

import "testing"

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
