package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// crashWorld runs requests by their digest.
type crashWorld struct {
	t     *testing.T
	s     *Scheduler
	now   time.Time
	count int
}

// run queues one request for each digest and returns where each runs; refused
// ones run nowhere.
func (w *crashWorld) run(digests ...Digest) map[Digest]Request {
	started := make(map[Digest]Request)
	for _, digest := range digests {
		w.count++
		r := testRequest(fmt.Sprint(w.count), "shops", "desk")
		r.Digest, r.Deadline = digest, w.now.Add(time.Hour)
		w.s.Enqueue(w.now, r)
	}
	for _, action := range w.s.Decide(w.now) {
		if grant, ok := action.(*Grant); ok {
			started[grant.Request.Digest] = *grant.Request
		}
	}
	return started
}

// finish ends requests; the target of those with the culprit's digest dies.
func (w *crashWorld) finish(started map[Digest]Request, culprit Digest) {
	died := ""
	if r, ok := started[culprit]; ok {
		died = string(w.s.running[r.ID].target.Name)
	}
	digests := make([]Digest, 0, len(started))
	for digest := range started {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	for _, digest := range digests {
		r := started[digest]
		e := End{ID: r.ID, Outcome: outcome.Completed, Tokens: 1, Total: time.Second}
		if string(w.s.running[r.ID].target.Name) == died {
			e = End{ID: r.ID, Outcome: outcome.Unknown, Reason: outcome.TargetFailed, TargetCrashed: true}
		}
		w.s.End(w.now, e)
	}
	w.now = w.now.Add(time.Minute)
	for _, target := range w.s.targets {
		target.Breaker.RecordSuccess()
	}
}

func (w *crashWorld) wantQuarantined(want bool, digests ...Digest) {
	w.t.Helper()
	for _, digest := range digests {
		if _, got := w.s.strikes.quarantined(w.now, digest); got != want {
			w.t.Errorf("digest %d: quarantined is %v, want %v", digest, got, want)
		}
	}
}

func TestCrashingRequestIsQuarantinedAndInnocentsAreNot(t *testing.T) {
	w := &crashWorld{t: t, s: newTestScheduler(testConfig(1, 4)), now: epoch}
	w.finish(w.run(1, 2, 3), 1)
	w.wantQuarantined(false, 1, 2, 3)
	w.finish(w.run(1), 1)
	w.wantQuarantined(true, 1)
	w.s.Enqueue(w.now, Request{ID: "again", Tier: "desk", Digest: 1, Deadline: w.now.Add(time.Hour)})
	if got := describe(w.s.Decide(w.now)); !slices.Equal(got, []string{"refuse again quarantined"}) {
		t.Errorf("got %v", got)
	}
	w.finish(w.run(2, 3), 0)
	w.wantQuarantined(false, 2, 3)
	w.now = w.now.Add(strikeLifetime)
	w.wantQuarantined(false, 1)
}

func TestSuspectsRunApart(t *testing.T) {
	w := &crashWorld{t: t, s: newTestScheduler(testConfig(1, 4)), now: epoch}
	w.finish(w.run(1, 2), 1)
	started := w.run(1, 2, 3)
	if len(started) != 2 {
		t.Fatalf("%d requests run, want one suspect and the other one", len(started))
	}
	if _, ok := started[3]; !ok {
		t.Error("a request without a strike is held back")
	}
}

func TestInnocentBesideTwoCulpritsIsLetGo(t *testing.T) {
	w := &crashWorld{t: t, s: newTestScheduler(testConfig(1, 4)), now: epoch}
	const first, second, innocent = 1, 2, 3
	w.finish(w.run(first, innocent), first)
	w.finish(w.run(second, innocent), second)
	w.wantQuarantined(true, innocent)
	for range 3 {
		w.finish(w.run(first), first)
	}
	w.wantQuarantined(true, first)
	for range 3 {
		w.finish(w.run(second), second)
	}
	w.wantQuarantined(true, second)
	w.wantQuarantined(false, innocent)
}

func TestStrikesOfOtherOwnersCount(t *testing.T) {
	w := &crashWorld{t: t, s: newTestScheduler(testConfig(1, 4)), now: epoch}
	w.s.MergeStrikes(w.now, 1, 1, w.now.Add(time.Hour))
	w.finish(w.run(1), 1)
	w.wantQuarantined(true, 1)
	want := []StrikeRecord{{Digest: 1, Count: 1, Expiry: epoch.Add(strikeLifetime)}}
	if got := w.s.LocalStrikes(w.now); !slices.Equal(got, want) {
		t.Errorf("strikes told to others are %v, want %v", got, want)
	}
}
