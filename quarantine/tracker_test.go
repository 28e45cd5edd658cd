package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// runTime is how long the digests ran before a crash.
const runTime = 100 * time.Millisecond

// crash returns a crash of the target's only process.
func crash(target ident.Target, after time.Duration, running ...Digest) Crash {
	c := Crash{Target: target, Process: 1, At: at(after)}
	for _, digest := range running {
		c.Runs = append(c.Runs, Run{Digest: digest, Duration: runTime})
	}
	return c
}

func mergeAll(t *Tracker, now time.Time, crashes ...Crash) {
	for _, c := range crashes {
		t.Merge(now, c)
	}
}

func checkQuarantined(t *testing.T, tracker *Tracker, now time.Time, want ...Digest) {
	t.Helper()
	if got := tracker.Quarantined(now); !slices.Equal(got, want) {
		t.Errorf("quarantined are %v, want %v", got, want)
	}
}

func TestSecondCrashQuarantinesUntilExpiry(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(0), crash("t1", 0, 1, 2, 3))
	checkQuarantined(t, tracker, at(0))
	mergeAll(tracker, at(time.Second), crash("t2", time.Second, 1, 4))
	checkQuarantined(t, tracker, at(time.Second), 1)
	if tracker.IsSuspect(at(time.Second), Content{Whole: 2}) || tracker.IsSuspect(at(time.Second), Content{Whole: 4}) {
		t.Error("digests beside the quarantined one are suspects, want its crashes attributed to it")
	}
	checkQuarantined(t, tracker, at(time.Second+Duration))
	mergeAll(tracker, at(20*time.Minute), crash("t3", 20*time.Minute, 1))
	checkQuarantined(t, tracker, at(20*time.Minute), 1)
	if tracker.IsSuspect(at(20*time.Minute+Retention), Content{Whole: 1}) {
		t.Error("a digest is a suspect after its crashes were forgotten")
	}
}

func TestSameCrashReportedTwiceIsOneStrike(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(5*time.Second), crash("t1", 0, 1), crash("t1", 4*time.Second, 1, 2))
	if strikes, _ := tracker.Strikes(at(5*time.Second), 1); strikes != 1 {
		t.Errorf("%d strikes, want 1", strikes)
	}
	nextProcess := crash("t1", 5*time.Second, 1)
	nextProcess.Process = 2
	mergeAll(tracker, at(5*time.Second), nextProcess)
	if strikes, _ := tracker.Strikes(at(5*time.Second), 1); strikes != 2 {
		t.Errorf("%d strikes, want 2", strikes)
	}
}

func TestTargetsThatCrashTogetherAreOneStrike(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(time.Second), crash("t1", 0, 1, 2), crash("t2", 50*time.Millisecond, 1, 3), crash("t3", 90*time.Millisecond, 1))
	checkQuarantined(t, tracker, at(time.Second))
}

func TestServedRunClearsStrikesBeforeIt(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(time.Second), crash("t1", 0, 1), crash("t2", time.Second, 1))
	checkQuarantined(t, tracker, at(time.Second), 1)
	if len(tracker.RecordServed(at(2*time.Second), Content{Whole: 1})) == 0 {
		t.Error("a served run of a quarantined digest changed nothing")
	}
	checkQuarantined(t, tracker, at(2*time.Second))
	mergeAll(tracker, at(20*time.Second), crash("t3", 20*time.Second, 1))
	checkQuarantined(t, tracker, at(20*time.Second))
	mergeAll(tracker, at(21*time.Second), crash("t4", 21*time.Second, 1))
	checkQuarantined(t, tracker, at(21*time.Second), 1)
}

func TestContentServedShortlyBeforeCrashIsNoSuspect(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordServed(at(0), Content{Whole: 1})
	mergeAll(tracker, at(5*time.Second), crash("t1", 4*time.Second, 1, 2), crash("t2", 5*time.Second, 1, 2))
	checkQuarantined(t, tracker, at(5*time.Second), 2)
}

func TestClearanceReachesOtherHosts(t *testing.T) {
	served, other := NewTracker(), NewTracker()
	crashes := []Crash{crash("t1", 0, 1), crash("t2", time.Second, 1)}
	mergeAll(served, at(time.Second), crashes...)
	mergeAll(other, at(time.Second), crashes...)
	served.RecordServed(at(2*time.Second), Content{Whole: 1})
	mergeAll(other, at(3*time.Second), served.Crashes(at(3*time.Second))...)
	checkQuarantined(t, other, at(3*time.Second))
	// An older report does not undo it.
	mergeAll(other, at(3*time.Second), crashes...)
	checkQuarantined(t, other, at(3*time.Second))
}

func TestInnocentBesideTwoCulpritsIsReleased(t *testing.T) {
	tracker := NewTracker()
	const first, second, bystander = 1, 2, 3
	mergeAll(tracker, at(time.Minute), crash("t1", 0, first, bystander), crash("t2", time.Minute, second, bystander))
	checkQuarantined(t, tracker, at(time.Minute), bystander)
	mergeAll(tracker, at(4*time.Minute), crash("t3", 2*time.Minute, first), crash("t4", 3*time.Minute, second))
	checkQuarantined(t, tracker, at(4*time.Minute), first, second)
}

func TestRandomOrderLeadsToSameVerdicts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		crashes := make([]Crash, 2+random.IntN(12))
		for i := range crashes {
			crashes[i] = crash(ident.Target(rune('a'+i)), time.Duration(random.IntN(10_000))*time.Millisecond)
			for range 1 + random.IntN(3) {
				crashes[i].Runs = append(crashes[i].Runs, Run{
					Digest:   Digest(1 + random.IntN(5)),
					Duration: time.Duration(random.IntN(2000)) * time.Millisecond,
					Cleared:  random.IntN(8) == 0,
				})
			}
		}
		now := at(time.Minute)
		first, second := NewTracker(), NewTracker()
		mergeAll(first, now, crashes...)
		random.Shuffle(len(crashes), func(i, j int) { crashes[i], crashes[j] = crashes[j], crashes[i] })
		mergeAll(second, now, append(crashes, crashes[:2]...)...)
		if a, b := first.Quarantined(now), second.Quarantined(now); !slices.Equal(a, b) {
			t.Fatalf("seed %d: quarantined are %v and %v in another order", seed, a, b)
		}
		if a, b := first.Suspects(now), second.Suspects(now); !slices.Equal(a, b) {
			t.Fatalf("seed %d: suspects are %v and %v in another order", seed, a, b)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 10 * maxCrashes {
		now := at(time.Duration(i) * time.Second)
		digest := Digest(i + 1)
		tracker.RecordServed(now, Content{Whole: digest + 1_000_000})
		tracker.Merge(now, crash(ident.Target(digest.String()), now.Sub(epoch), digest))
	}
	for i := range 3 * maxServed {
		tracker.RecordServed(at(time.Hour), Content{Whole: Digest(i + 1)})
	}
	if n := len(tracker.records); n > maxCrashes {
		t.Errorf("%d crashes in memory, want at most %d", n, maxCrashes)
	}
	if n := len(tracker.served.newer) + len(tracker.served.older); n > 2*maxServed {
		t.Errorf("%d served digests in memory, want at most %d", n, 2*maxServed)
	}
}

func trialCrash(target ident.Target, after time.Duration, digest Digest) Crash {
	c := crash(target, after, digest)
	c.Runs[0].Trial = true
	return c
}

func TestCrashOfTrialIsAnotherStrike(t *testing.T) {
	tracker := NewTracker()
	// The run overlaps with the first crash by the hosts' clocks.
	mergeAll(tracker, at(time.Second), crash("t1", 0, 1), trialCrash("t2", runTime/2, 1))
	checkQuarantined(t, tracker, at(time.Second), 1)
}

func TestTargetsThatEndTogetherWithoutTheContentHaveACommonCause(t *testing.T) {
	tracker := NewTracker()
	mergeAll(tracker, at(10*time.Second), crash("t1", 0, 1), trialCrash("t2", 5*time.Second, 1))
	checkQuarantined(t, tracker, at(10*time.Second), 1)
	mergeAll(tracker, at(10*time.Second), crash("t3", 5*time.Second+commonCauseWindow))
	checkQuarantined(t, tracker, at(10*time.Second))
	if !tracker.IsSuspect(at(10*time.Second), Content{Whole: 1}) {
		t.Error("the content is no suspect any more, want it to run in trials only")
	}
	mergeAll(tracker, at(20*time.Second), trialCrash("t4", 20*time.Second, 1))
	checkQuarantined(t, tracker, at(20*time.Second), 1)
}

func TestTargetsCrashedByQuarantinedContentAreNoCommonCause(t *testing.T) {
	tracker := NewTracker()
	const first, second = 1, 2
	mergeAll(tracker, at(time.Minute), crash("t1", 0, first), trialCrash("t2", 5*time.Second, first))
	mergeAll(tracker, at(time.Minute), crash("t3", 20*time.Second, second), trialCrash("t4", 5*time.Second+100*time.Millisecond, second))
	checkQuarantined(t, tracker, at(time.Minute))
	mergeAll(tracker, at(time.Minute), trialCrash("t5", 40*time.Second, first), trialCrash("t6", 50*time.Second, second))
	checkQuarantined(t, tracker, at(time.Minute), first, second)
}

func TestListedContentIsASuspectUntilItIsServed(t *testing.T) {
	tracker := NewTracker()
	tracker.SetSuspects([]Digest{1, 2})
	tracker.RecordServed(at(0), Content{Whole: 1})
	if tracker.IsSuspect(at(0), Content{Whole: 1}) || !tracker.IsSuspect(at(0), Content{Whole: 2}) || tracker.IsSuspect(at(0), Content{Whole: 3}) {
		t.Error("want the listed content that was not served as the only suspect")
	}
}
