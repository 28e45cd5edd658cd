package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

func newTarget(slots int, gapObjective time.Duration) *Target {
	return &Target{
		Name:      "engine",
		Estimator: NewEstimator(),
		Limit:     NewSlotLimit(slots, gapObjective),
		Breaker:   NewCircuitBreaker(rand.New(rand.NewPCG(1, 1))),
	}
}

func TestEstimatorLearnsBothRates(t *testing.T) {
	e := NewEstimator()
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 400 {
		now = now.Add(250 * time.Millisecond)
		batch, tokens := 1+random.IntN(8), 100+random.IntN(4000)
		e.ObserveGap(now, batch, 20, time.Duration(10+2*batch)*time.Millisecond)
		e.ObservePrefill(now, tokens, 5*time.Millisecond+time.Duration(tokens)*200*time.Microsecond)
	}
	if got := e.Gap(now, 4); got < 16*time.Millisecond || got > 20*time.Millisecond {
		t.Errorf("gap is %v, want about 18ms", got)
	}
	if got := e.PrefillRate(now); math.Abs(got-5000) > 500 {
		t.Errorf("prefill rate is %.0f tokens per second, want about 5000", got)
	}
}

func TestSlowdownRisesFasterThanItFalls(t *testing.T) {
	var s Slowdown
	rises, falls := 0, 0
	now := start
	for ; s.At(now) < 8; rises++ {
		now = now.Add(time.Millisecond)
		s.Observe(now, 10)
	}
	for ; s.At(now) > 2; falls++ {
		now = now.Add(time.Millisecond)
		s.Observe(now, 1)
	}
	if rises >= falls {
		t.Errorf("slowdown rose in %d observations and fell in %d, want a faster rise", rises, falls)
	}
	s.Observe(now, 10)
	if later := now.Add(time.Minute); s.At(later) > 1.1 {
		t.Errorf("slowdown is %.2f a minute after the last observation, want about 1", s.At(later))
	}
}

func TestSlotLimitFollowsTokenGap(t *testing.T) {
	const gapObjective = 40 * time.Millisecond
	l := NewSlotLimit(16, gapObjective)
	now := start
	gaps := 0
	for ; l.Slots() > 2 && gaps < 100; gaps++ {
		now = now.Add(gapObjective)
		l.Observe(now, 10*gapObjective, l.Slots())
	}
	if gaps > 10 {
		t.Errorf("an engine slowed tenfold still has %d slots after %d token gaps, want 2 within 10 gaps", l.Slots(), gaps)
	}
	for range 100 {
		now = now.Add(time.Second)
		l.Observe(now, gapObjective/4, l.Slots())
	}
	if l.Slots() != 16 {
		t.Errorf("an engine that became fast again has %d slots, want 16", l.Slots())
	}
	unlimited := NewSlotLimit(16, 0)
	unlimited.Observe(now, time.Minute, 16)
	if unlimited.Slots() != 16 {
		t.Error("slots are cut without a gap objective")
	}
}

func TestPrefixAffinityYieldsUnderLoad(t *testing.T) {
	prefixes := NewPrefixIndex(64)
	router := NewRouter(RouterOptions{Prefixes: prefixes, Filters: []Filter{NotDraining{}}, Score: PredictedFinish{Prefixes: prefixes}})
	warm, cold := newTarget(8, 0), newTarget(8, 0)
	targets := []*Target{cold, warm}
	prefix := make([]uint64, 100)
	for i := range prefix {
		prefix[i] = uint64(i + 1)
	}
	prefixes.Add(warm, prefix)
	work := &Work{PromptTokens: 6400, Length: LengthEstimate{Median: 10}, Prefix: prefix}
	if got := router.Rank(start, work, targets).Free; got != warm {
		t.Error("the target with the cached prefix is not chosen")
	}
	if cached := prefixes.CachedTokens(work.PromptTokens, warm); cached < 5000 {
		t.Errorf("%d of 6400 prompt tokens are found in the index, want at least 5000", cached)
	}
	warm.PendingPrefill = 20_000
	if got := router.Rank(start, work, targets).Free; got != cold {
		t.Error("the loaded target with the cached prefix is chosen over the idle one")
	}
	prefixes.RemoveTarget(warm)
	prefixes.Match(prefix)
	if cached := prefixes.CachedTokens(work.PromptTokens, warm); cached != 0 {
		t.Errorf("%d tokens are found after the target was removed from the index, want 0", cached)
	}
}

func TestFasterTargetIsWorthWaitingFor(t *testing.T) {
	prefixes := NewPrefixIndex(64)
	router := NewRouter(RouterOptions{Prefixes: prefixes, Score: PredictedFinish{Prefixes: prefixes}})
	fast, slow := newTarget(1, 0), newTarget(1, 0)
	now := start
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		fast.Estimator.ObserveGap(now, 1, 50, 5*time.Millisecond)
		slow.Estimator.ObserveGap(now, 1, 50, 40*time.Millisecond)
	}
	fast.RecordStart(now)
	fast.NextFree = now.Add(500 * time.Millisecond)
	targets := []*Target{fast, slow}
	if choice := router.Rank(now, &Work{Length: LengthEstimate{Median: 500}}, targets); !choice.ShouldWait() {
		t.Error("a long request does not wait for the fast target")
	}
	if choice := router.Rank(now, &Work{Length: LengthEstimate{Median: 5}}, targets); choice.ShouldWait() {
		t.Error("a short request waits for the fast target")
	}
}

func TestLengthEstimateUsesMethodWithSmallerError(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	byLimit, byLength := NewLengthEstimator(), NewLengthEstimator()
	for range 200 {
		limit := 10 + random.IntN(1000)
		byLimit.Observe("shops", limit/2, limit)
		byLength.Observe("shops", 50, limit)
	}
	if got := byLimit.Estimate("shops", 800, 0).Median; got < 320 || got > 480 {
		t.Errorf("estimate is %d, want about half of the limit", got)
	}
	if got := byLength.Estimate("shops", 800, 0).Median; got < 40 || got > 60 {
		t.Errorf("estimate is %d, want about 50", got)
	}
	if got := byLength.Estimate("shops", 800, 300).Median; got <= 300 {
		t.Errorf("estimate is %d with 300 tokens streamed", got)
	}
}

func TestLoadHintCountsOnlyExternalRequests(t *testing.T) {
	var h LoadHint
	h.RecordRunning(start, 4)
	h.Report(start, 4)
	if got := h.ExternalRequests(start); got != 0 {
		t.Errorf("%d of the pool's own requests count as external, want 0", got)
	}
	h.Report(start, 7)
	if got := h.ExternalRequests(start); got != 3 {
		t.Errorf("got %d external requests, want 3", got)
	}
	if got := h.ExternalRequests(start.Add(time.Minute)); got != 0 {
		t.Errorf("got %d external requests from an expired report, want 0", got)
	}
}
