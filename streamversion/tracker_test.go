package streamversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const lifetime = 8 * time.Second

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// at returns the time some seconds after the start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newTracker() *Tracker {
	t := NewTracker()
	t.SetLongestTimeout(lifetime / lifetimeFactor)
	return t
}

func targetOf(name ident.Target, version string) route.Target {
	return route.Target{Name: name, Pool: "p", Version: version, StartUnixMs: start.UnixMilli()}
}

func (t *Tracker) list(now time.Time, listed ...route.Target) {
	targets := make(map[ident.Target]route.Target)
	for _, l := range listed {
		targets[l.Name] = l
	}
	t.ConfirmTargets(now)
	t.SetTargets(now, targets)
}

func onlyPool() []route.WeightedPool { return []route.WeightedPool{{Pool: "p", Weight: 1}} }

// found returns the version that a tracker finds for a stream, or "unknown".
func (t *Tracker) found(now time.Time, first ident.Request) string {
	if origin, known := t.Find(now, first, onlyPool()); known {
		return origin.Version
	}
	return "unknown"
}

func expectFound(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func TestOriginIsKnownAtEachHostUntilItExpires(t *testing.T) {
	here, there := newTracker(), newTracker()
	for _, tracker := range []*Tracker{here, there} {
		tracker.list(at(0), targetOf("a", "v1"), targetOf("b", "v2"))
	}
	here.RecordBegin(at(1), "s", targetOf("b", "v2"), false)
	expectFound(t, "before the report", there.found(at(1), "s"), "unknown")
	there.Merge(at(1.1), "here", here.TakeReport(at(1.1)))
	expectFound(t, "here", here.found(at(2), "s"), "v2")
	expectFound(t, "there", there.found(at(2), "s"), "v2")
	there.RecordBegin(at(5), "s", targetOf("b", "v2"), false)
	expectFound(t, "renewed", there.found(at(12), "s"), "v2")
	expectFound(t, "not renewed", here.found(at(12), "s"), "unknown")
	expectFound(t, "another stream", here.found(at(2), "other"), "unknown")
}

func TestLostReportIsRepeatedOnce(t *testing.T) {
	here, there := newTracker(), newTracker()
	here.RecordBegin(at(1), "s", targetOf("a", "v1"), false)
	_ = here.TakeReport(at(1))
	there.Merge(at(1.1), "here", here.TakeReport(at(1.1)))
	expectFound(t, "there", there.found(at(2), "s"), "v1")
	if again := here.TakeReport(at(1.2)); len(again.Records) > 0 {
		t.Errorf("the record is sent a third time")
	}
}

func TestHostHeardAgainIsToldAllRecordsOfThisHost(t *testing.T) {
	here, late := newTracker(), newTracker()
	here.RecordBegin(at(1), "s", targetOf("a", "v1"), false)
	_, _ = here.TakeReport(at(1)), here.TakeReport(at(1.1))
	here.Merge(at(3), "late", late.TakeReport(at(3)))
	late.Merge(at(3.5), "here", here.TakeReport(at(3.5)))
	expectFound(t, "late", late.found(at(4), "s"), "v1")
}

func TestSoleVersionIsBelievedOnlyAfterALifetime(t *testing.T) {
	tracker := newTracker()
	tracker.list(at(0), targetOf("a", "v1"))
	expectFound(t, "at the start", tracker.found(at(1), "s"), "unknown")
	expectFound(t, "after a lifetime", tracker.found(at(8.1), "s"), "v1")
	tracker.list(at(9), targetOf("a", "v1"), targetOf("b", "v2"))
	expectFound(t, "two versions", tracker.found(at(9), "s"), "unknown")
	tracker.list(at(10), targetOf("b", "v2"))
	expectFound(t, "after one left", tracker.found(at(11), "s"), "unknown")
	expectFound(t, "a lifetime later", tracker.found(at(18.1), "s"), "v2")
	expectFound(t, "with an old list", tracker.found(at(40), "s"), "unknown")
	if _, known := tracker.Find(at(18.1), "s", append(onlyPool(), route.WeightedPool{Pool: "q"})); known {
		t.Error("the origin is known although the route has two pools")
	}
}

func TestSoleVersionIsLearnedFromAHostThatObservesForLonger(t *testing.T) {
	here, late := newTracker(), newTracker()
	here.list(at(0), targetOf("a", "v1"))
	late.list(at(20), targetOf("a", "v1"))
	here.ConfirmTargets(at(20))
	late.Merge(at(20.1), "here", here.TakeReport(at(20.1)))
	expectFound(t, "one version", late.found(at(20.2), "s"), "v1")

	here, late = newTracker(), newTracker()
	here.list(at(0), targetOf("a", "v1"))
	late.list(at(19), targetOf("a", "v1"), targetOf("b", "v2"))
	late.list(at(20), targetOf("a", "v1"))
	here.ConfirmTargets(at(20))
	late.Merge(at(20.1), "here", here.TakeReport(at(20.1)))
	expectFound(t, "this host saw another version", late.found(at(20.2), "s"), "unknown")
}

func TestVersionsThatMayHaveServedUnnoticedAreNotExcluded(t *testing.T) {
	here, other := newTracker(), newTracker()
	for _, tracker := range []*Tracker{here, other} {
		tracker.list(at(0), targetOf("a", "v1"))
		tracker.ConfirmTargets(at(20))
	}
	here.RecordGap(at(25))
	here.ConfirmTargets(at(25))
	expectFound(t, "after a gap", here.found(at(25.1), "s"), "unknown")
	here.Merge(at(25.2), "other", other.TakeReport(at(25.2)))
	expectFound(t, "another host's list is older than the end of the gap", here.found(at(25.3), "s"), "unknown")
	other.ConfirmTargets(at(26))
	here.Merge(at(26.1), "other", other.TakeReport(at(26.1)))
	expectFound(t, "another host saw no gap", here.found(at(26.2), "s"), "v1")
	here.RecordGap(at(30))
	here.ConfirmTargets(at(38.1))
	expectFound(t, "a lifetime after a gap", here.found(at(38.1), "s"), "v1")
}

func TestStreamOfTargetRestartedWithAnotherVersionIsUnsure(t *testing.T) {
	cases := []struct {
		name    string
		version string
		born    time.Time
		want    string
	}{
		{"before the first event", "v2", at(5), "unknown"},
		{"after the first event", "v2", at(9), "v1"},
		{"with the same version", "v1", at(5), "v1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			here, there := newTracker(), newTracker()
			here.list(at(0), targetOf("a", "v1"), targetOf("b", "v2"))
			here.RecordBegin(at(6), "s", targetOf("a", "v1"), false)
			restarted := targetOf("a", c.version)
			restarted.StartUnixMs = c.born.UnixMilli()
			here.list(at(9), restarted, targetOf("b", "v2"))
			there.Merge(at(9.1), "here", here.TakeReport(at(9.1)))
			expectFound(t, "here", here.found(at(9.2), "s"), c.want)
			expectFound(t, "there", there.found(at(9.2), "s"), c.want)
		})
	}
}

func TestContradictingRecordsAreUnsure(t *testing.T) {
	tracker := newTracker()
	tracker.RecordBegin(at(1), "s", targetOf("a", "v1"), false)
	tracker.RecordBegin(at(2), "s", targetOf("b", "v2"), false)
	tracker.RecordBegin(at(3), "s", targetOf("a", "v1"), false)
	expectFound(t, "contradiction", tracker.found(at(4), "s"), "unknown")
}

func TestMemoryAndReportsAreBounded(t *testing.T) {
	tracker := newTracker()
	for n := range 2 * maxRecords {
		tracker.RecordBegin(at(1), ident.Request(fmt.Sprint(n)), targetOf("a", "v1"), false)
	}
	if n := len(tracker.records.origins); n > maxRecords {
		t.Errorf("%d origins are kept, want at most %d", n, maxRecords)
	}
	if n := len(tracker.outbox.waiting) + len(tracker.own); n > 2*maxWaiting {
		t.Errorf("%d records wait or are kept to be sent again, want at most %d", n, 2*maxWaiting)
	}
	if n := len(tracker.TakeReport(at(1)).Records); n > maxReported {
		t.Errorf("a report has %d records, want at most %d", n, maxReported)
	}
	expectFound(t, "the newest", tracker.found(at(1), ident.Request(fmt.Sprint(2*maxRecords-1))), "v1")
}

func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	tracker := newTracker()
	for i := range 100 {
		tracker.Merge(at(float64(i)*600), ident.Host(fmt.Sprintf("h%d", i)), Report{})
	}
	if n := len(tracker.peerHeardAt); n > 2 {
		t.Errorf("%d hosts are remembered although all but the last have been silent for long", n)
	}
}
