package quarantine

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// crashOfParts is like crash, for parts of prompts.
func crashOfParts(target ident.Target, after time.Duration, running ...Digest) Crash {
	c := crash(target, after, running...)
	for i := range c.Runs {
		c.Runs[i].Part = true
	}
	return c
}

// sent returns crashes as another host receives them.
func sent(now time.Time, crashes []Crash) []Crash { return Decode(now, Encode(now, crashes)) }

// Guards against a host that missed the full report of a crash and blames the part of its runs that a
// later report has: here digests 1 and 2 always ran together, so that only both are quarantined.
func TestPartOfAGroupIsNotJudgedOn(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	mergeAll(sender, at(0), crashOfParts("t1", 0, 1, 2))
	mergeAll(receiver, at(0), crashOfParts("t1", 0, 1, 2))
	mergeAll(sender, at(2*time.Second), crashOfParts("t3", 2*time.Second, 1))
	before := at(2*time.Second + 1)
	// Another host adds a run, which is all that the next report has.
	mergeAll(sender, at(2100*time.Millisecond), crashOfParts("t3", 2*time.Second, 2))
	now := at(2200 * time.Millisecond)
	for _, c := range sent(now, sender.ChangesSince(now, before)) {
		receiver.Merge(now, c)
	}
	only2 := Content{Whole: 9, Parts: []Digest{2}}
	if _, quarantined := receiver.QuarantinedUntil(now, only2); quarantined {
		t.Error("digest 2 is quarantined although digest 1 ran beside it each time")
	}
	full := now.Add(500 * time.Millisecond)
	for _, c := range sent(full, sender.CrashesSince(full, at(time.Second))) {
		receiver.Merge(full, c)
	}
	if _, quarantined := receiver.QuarantinedUntil(full, only2); quarantined {
		t.Error("digest 2 is quarantined alone after the full report")
	}
	if _, quarantined := receiver.QuarantinedUntil(full, Content{Whole: 9, Parts: []Digest{1, 2}}); !quarantined {
		t.Error("both digests together are not quarantined after the full report")
	}
}

// Guards against a crash that is never judged on because its full report was lost, and against one that
// is left out again by a partial report after it was known in full.
func TestPartlyReportedCrashCountsInTheEnd(t *testing.T) {
	tracker := NewTracker()
	part := crash("t2", time.Second, 1)
	part.Total = 2
	mergeAll(tracker, at(time.Second), crash("t1", 0, 1, 3), part)
	checkQuarantined(t, tracker, at(time.Second))
	checkQuarantined(t, tracker, at(time.Second+partialReportWait), 1)
	part.Total = 5
	mergeAll(tracker, at(6*time.Second), part)
	checkQuarantined(t, tracker, at(6*time.Second), 1)
	other := NewTracker()
	mergeAll(other, at(time.Second), crash("t1", 0, 1, 3), crash("t2", time.Second, 1, 4))
	mergeAll(other, at(time.Second), part)
	checkQuarantined(t, other, at(time.Second), 1)
}

// Guards against a number of runs that the former build takes for a run.
func TestTotalIsARunThatHasNoDigest(t *testing.T) {
	part := crash("t1", 0, 1)
	part.Total = 7
	encoded := Encode(at(0), []Crash{part})
	if runs := encoded[0].GetRuns(); len(runs) != 2 || runs[1].GetDigest() != 0 {
		t.Fatalf("encoded as %v", runs)
	}
	if decoded := Decode(at(0), encoded); decoded[0].Total != 7 || len(decoded[0].Runs) != 1 {
		t.Errorf("decoded as %+v", decoded)
	}
}
