package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"pgregory.net/rapid"
)

// crashOf returns a crash of a target that ran requests.
func crashOf(target string, after time.Duration, running ...Content) Crash {
	c := Crash{Target: ident.Target(target), Process: 1, At: at(after)}
	for _, content := range running {
		c.Runs = append(c.Runs, content.Runs(runTime, false)...)
	}
	return c
}

func checkContentQuarantined(t *testing.T, tracker *Tracker, now time.Time, c Content, want bool) {
	t.Helper()
	if _, got := tracker.QuarantinedUntil(now, c); got != want {
		t.Errorf("%+v: quarantined = %v, want %v", c, got, want)
	}
}

func TestPartUnderWhichTargetsCrashTwiceIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(3*time.Second),
		crashOf("t1", 0, Content{Whole: 1, Parts: []Digest{100, 200}}, Content{Whole: 2, Parts: []Digest{300}}),
		crashOf("t2", 2*time.Second, Content{Whole: 3, Parts: []Digest{100, 400}}),
	)
	now := at(3 * time.Second)
	checkContentQuarantined(t, tracker, now, Content{Whole: 9, Parts: []Digest{500, 100}}, true)
	for _, innocent := range []Digest{200, 300, 400} {
		other := Content{Whole: 9, Parts: []Digest{innocent}}
		checkContentQuarantined(t, tracker, now, other, false)
		if tracker.IsSuspect(now, other) {
			t.Errorf("the part %v beside the crashing one is a suspect", innocent)
		}
	}
}

func TestPartThatWasServedIsNoSuspect(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordServed(at(0), Content{Whole: 1, Parts: []Digest{100}})
	mergeAll(tracker, at(time.Minute+time.Second),
		crashOf("t1", time.Minute, Content{Whole: 2, Parts: []Digest{100, 200}}),
	)
	if got := tracker.SuspectsIn(at(time.Minute+time.Second), Content{Whole: 3, Parts: []Digest{100, 200}}); !slices.Equal(got, []Digest{200}) {
		t.Errorf("got the suspects %v, want the part that was never served", got)
	}
}

func TestPartsThatTieAreToldApartByTrials(t *testing.T) {
	tracker := NewTracker()
	const culprit, innocent = 100, 200
	mergeAll(tracker, at(3*time.Second),
		crashOf("t1", 0, Content{Whole: 1, Parts: []Digest{culprit, innocent}}),
		crashOf("t2", 2*time.Second, Content{Whole: 2, Parts: []Digest{culprit, innocent}}),
	)
	now := at(3 * time.Second)
	onlyInnocent := Content{Whole: 9, Parts: []Digest{innocent}}
	checkContentQuarantined(t, tracker, now, Content{Whole: 9, Parts: []Digest{culprit, innocent}}, true)
	checkContentQuarantined(t, tracker, now, onlyInnocent, false)
	if !tracker.IsSuspect(now, onlyInnocent) {
		t.Error("a part of the group runs without a trial")
	}
	tracker.RecordServed(now, onlyInnocent)
	checkContentQuarantined(t, tracker, now, Content{Whole: 9, Parts: []Digest{culprit}}, true)
	if got := tracker.ConvictedIn(now, Content{Parts: []Digest{culprit, innocent}}); !slices.Equal(got, []Digest{culprit}) {
		t.Errorf("convicted are %v, want the part that is left", got)
	}
}

func TestRepeatedContentIsQuarantinedWithoutItsParts(t *testing.T) {
	tracker := NewTracker()
	repeated := Content{Whole: 1, Parts: []Digest{100}}
	mergeAll(tracker, at(3*time.Second), crashOf("t1", 0, repeated), crashOf("t2", 2*time.Second, repeated))
	now := at(3 * time.Second)
	checkContentQuarantined(t, tracker, now, repeated, true)
	checkContentQuarantined(t, tracker, now, Content{Whole: 2, Parts: []Digest{100}}, false)
	if !tracker.IsSuspect(now, Content{Whole: 2, Parts: []Digest{100}}) {
		t.Error("the part of the crashing content runs without a trial")
	}
}

// A trial needs no wait after another crash, because only what ended since its beginning has a common cause with it.
func TestCrashBeforeTrialBeganIsNoCommonCause(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(time.Second), crash("t1", 0, 1), crash("t2", 100*time.Millisecond))
	if strikes, _ := tracker.Strikes(at(time.Second), 1); strikes != 0 {
		t.Errorf("%d strikes after targets that crashed together, want none", strikes)
	}
	mergeAll(tracker, at(time.Second), trialCrash("t3", 201*time.Millisecond, 1))
	if strikes, _ := tracker.Strikes(at(time.Second), 1); strikes != 1 {
		t.Errorf("%d strikes after a trial that began after both crashes, want 1", strikes)
	}
	mergeAll(tracker, at(time.Second), trialCrash("t4", 400*time.Millisecond, 1))
	checkQuarantined(t, tracker, at(time.Second), 1)
}

func TestCrashSinceTrialBeganIsACommonCause(t *testing.T) {
	for _, other := range []time.Duration{0, runTime, runTime + commonCauseWindow} {
		tracker := NewTracker()
		mergeAll(tracker, at(time.Minute), crash("t1", -time.Minute, 1), trialCrash("t2", runTime, 1), crash("t3", other))
		checkQuarantined(t, tracker, at(time.Minute))
		if !tracker.IsSuspect(at(time.Minute), Content{Whole: 1}) {
			t.Errorf("crash at %s: the content is no suspect any more, want it to run in trials only", other)
		}
	}
}

// Whatever else ran beside a crashing part, and whatever was served, no other part is quarantined
// by itself for good: a trial of it is permitted, and clears it.
func TestOnlyTheCrashingPartStaysQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const culprit = 1000
		tracker := NewTracker()
		now := at(0)
		for n := range rapid.IntRange(2, 12).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(200, 3000).Draw(t, "pause")) * time.Millisecond)
			var running []Content
			for i := range rapid.IntRange(0, 6).Draw(t, "beside") {
				running = append(running, Content{Whole: Digest(n*10 + i + 1), Parts: drawParts(t)})
			}
			bad := Content{Whole: Digest(n*10 + 9), Parts: append(drawParts(t), culprit)}
			c := crashOf(fmt.Sprint("t", n), 0, append(running, bad)...)
			c.At = now
			tracker.Merge(now, c)
		}
		now = now.Add(2 * time.Second)
		for part := Digest(2000); part < 2010; part++ {
			tracker.RecordServed(now, Content{Parts: []Digest{part}})
		}
		for part := Digest(2000); part < 2010; part++ {
			if _, quarantined := tracker.QuarantinedUntil(now, Content{Parts: []Digest{part}}); quarantined {
				t.Fatalf("the part %v is quarantined although it was served", part)
			}
		}
		if _, quarantined := tracker.QuarantinedUntil(now, Content{Parts: []Digest{culprit}}); !quarantined {
			t.Fatal("the crashing part is not quarantined")
		}
	})
}

func drawParts(t *rapid.T) []Digest {
	var parts []Digest
	for range rapid.IntRange(0, 3).Draw(t, "parts") {
		parts = append(parts, Digest(2000+rapid.IntRange(0, 9).Draw(t, "part")))
	}
	return parts
}
