package rollout

import (
	"fmt"
	"testing"
	"time"
)

var testRoutes = []simRoute{
	{part: 0.7, failures: 0.005, duration: 150 * time.Millisecond},
	{part: 0.2, failures: 0.01, duration: 300 * time.Millisecond},
	{part: 0.08, failures: 0.14, duration: 100 * time.Millisecond},
	{part: 0.02, failures: 0.01, duration: 400 * time.Millisecond},
}

func base() scenario {
	return scenario{rate: 208, duration: 12 * time.Second, routes: testRoutes, targets: 6, minSpeed: 0.6, maxSpeed: 1.7}
}

func with(change func(*scenario)) scenario {
	sc := base()
	change(&sc)
	return sc
}

// loads are rates and durations from one end of what rollouts are to work with to the other.
func loads() map[string]scenario {
	found := map[string]scenario{}
	for _, rate := range []float64{10, 60, 208, 1500} {
		for _, seconds := range []int{6, 12, 60} {
			if rate*float64(seconds) > 20000 {
				continue // 60 s at 1,500 a second take too long to simulate
			}
			sc := base()
			sc.rate, sc.duration = rate, time.Duration(seconds)*time.Second
			found[fmt.Sprintf("%v per second, %d s", rate, seconds)] = sc
		}
	}
	return found
}

// checkGood checks the requirement "a good version is completed before the deadline with a
// margin", a fifth of the duration or 2 s, and "at most 10 of 2,500 requests lost".
func checkGood(t *testing.T, sc scenario, r result) {
	t.Helper()
	if r.phase != Completed {
		t.Errorf("good version is %v at %v: %+v", r.phase, r.endedAt, r.verdict)
		return
	}
	if margin := min(sc.duration/5, 2*time.Second); r.endedAt > sc.duration-margin {
		t.Errorf("completed at %v of %v, want %v to spare", r.endedAt, sc.duration, margin)
	}
	if limit := r.requests / 250; r.oldRunning > limit {
		t.Errorf("%d of %d requests were running on old targets at the completion", r.oldRunning, r.requests)
	}
}

// checkBad checks the requirement "a bad version gets at most a tenth of all requests plus 50,
// and none later than 5 s after its 50th bad response".
func checkBad(t *testing.T, r result) {
	t.Helper()
	if r.phase != RolledBack {
		t.Errorf("bad version is %v at %v: %+v", r.phase, r.endedAt, r.verdict)
	}
	if limit := 0.1*float64(r.requests) + 50; float64(r.exposed) > limit {
		t.Errorf("%d of %d requests reached the bad version, limit %v", r.exposed, r.requests, limit)
	}
	if r.lateRequests > 0 {
		t.Errorf("%d requests reached it later than 5 s after its 50th bad response", r.lateRequests)
	}
}

func run(t *testing.T, seeds uint64, sc scenario, check func(*testing.T, scenario, result)) {
	t.Parallel()
	for seed := range seeds {
		r := simulate(seed, sc)
		t.Logf("seed %d: %v at %v, %d of %d exposed, %d bad, %d steps", seed, r.phase, r.endedAt, r.exposed, r.requests, r.bad, r.steps)
		check(t, sc, r)
	}
}

func bad(t *testing.T, _ scenario, r result) { t.Helper(); checkBad(t, r) }

func good(t *testing.T, sc scenario, r result) { t.Helper(); checkGood(t, sc, r) }

// Guards against good versions that are rolled back or completed too late, at any rate and
// duration, with routes that fail by themselves and targets whose speeds differ threefold.
func TestGoodVersionCompletes(t *testing.T) {
	for name, sc := range loads() {
		t.Run(name, func(t *testing.T) { run(t, 4, sc, good) })
	}
}

// Guards against disturbances that keep a good version from completing.
func TestGoodVersionCompletesDespiteDisturbances(t *testing.T) {
	for name, change := range map[string]func(*scenario){
		"burst":         func(sc *scenario) { sc.burst = 2.2 },
		"decider dies":  func(sc *scenario) { sc.killAtStep = true },
		"store is slow": func(sc *scenario) { sc.storeDown = 500 * time.Millisecond },
		"hosts start":   func(sc *scenario) { sc.lateHosts = true },
		"few targets":   func(sc *scenario) { sc.targets = 2 },
		"targets crash": func(sc *scenario) { sc.crash = true },
		"hosts restart": func(sc *scenario) { sc.restart = true },
	} {
		t.Run(name, func(t *testing.T) { run(t, 6, with(change), good) })
	}
}

// Guards against a bad version that gets more than the exposure bound, at any rate and
// duration.
func TestVersionBadAtOnceIsRolledBack(t *testing.T) {
	for name, sc := range loads() {
		for kind, f := range map[string]fault{
			"fails": {failures: 0.4}, "fails always": {failures: 1}, "slow": {slower: 4},
		} {
			sc.fault = f
			t.Run(name+", "+kind, func(t *testing.T) { run(t, 2, sc, bad) })
		}
	}
}

// Guards against versions that show late, under load or on one route that they are bad.
func TestVersionBadInPartIsRolledBack(t *testing.T) {
	for name, f := range map[string]fault{
		"later":        {failures: 0.4, after: 5 * time.Second},
		"slow later":   {slower: 4, after: 5 * time.Second},
		"on one route": {failures: 0.5, oneRoute: true},
		"under load":   {failures: 0.5, load: 0.1},
		"slow at load": {slower: 4, load: 0.1},
		"at more load": {failures: 0.5, load: 0.3},
	} {
		t.Run(name, func(t *testing.T) { run(t, 6, with(func(sc *scenario) { sc.fault = f }), bad) })
	}
}

// Guards against short rollouts in which a version that is bad in part gets more than the
// exposure bound.
func TestVersionBadInPartIsRolledBackInShortRollouts(t *testing.T) {
	for name, f := range map[string]fault{
		"later":        {failures: 0.4, after: 2400 * time.Millisecond},
		"on one route": {failures: 0.5, oneRoute: true},
		"under load":   {failures: 0.5, load: 0.1},
		"at more load": {failures: 0.5, load: 0.3},
	} {
		for _, rate := range []float64{60, 208} {
			sc := with(func(sc *scenario) { sc.fault, sc.rate, sc.duration = f, rate, 6*time.Second })
			t.Run(fmt.Sprint(name, ", ", rate), func(t *testing.T) { run(t, 3, sc, bad) })
		}
	}
}

// Guards against faults of hosts, links and the store that let a bad version get more.
func TestBadVersionIsRolledBackDespiteDisturbances(t *testing.T) {
	for name, change := range map[string]func(*scenario){
		"burst":         func(sc *scenario) { sc.burst = 2.2 },
		"decider dies":  func(sc *scenario) { sc.killAtStep = true },
		"store is down": func(sc *scenario) { sc.storeDown = time.Minute },
		"store is slow": func(sc *scenario) { sc.storeDown = 500 * time.Millisecond },
		"cut off":       func(sc *scenario) { sc.cut = true },
		"hosts start":   func(sc *scenario) { sc.lateHosts = true },
		"targets crash": func(sc *scenario) { sc.crash = true },
		"hosts restart": func(sc *scenario) { sc.restart = true },
	} {
		for _, after := range []time.Duration{0, 4 * time.Second} {
			sc := with(change)
			sc.fault = fault{failures: 0.4, after: after}
			t.Run(fmt.Sprint(name, after), func(t *testing.T) { run(t, 3, sc, bad) })
		}
	}
}

// Guards against an order without candidates that ends before its deadline, or never.
func TestVersionWithoutTargetsIsRolledBackAtTheDeadline(t *testing.T) {
	r := simulate(1, with(func(sc *scenario) { sc.noTargets = true; sc.rate = 10 }))
	if r.phase != RolledBack || r.endedAt != 12*time.Second {
		t.Errorf("got %v at %v, want it rolled back at the deadline", r.phase, r.endedAt)
	}
}

// Guards against steps that depend on the history of one order, or go back to an older one.
func TestControllerFollowsTheNewestOrder(t *testing.T) {
	c := NewController(testOptions)
	s := Situation{Order: Order{ID: OrderID{Row: 2}, Version: version, Duration: 12 * time.Second}, Candidates: 1}
	now := time.Unix(1_000_000, 0)
	next, changed, _ := c.Decide(now, s)
	if !changed || next.Phase != Completed {
		t.Errorf("version in service: got %+v, want it completed at once", next)
	}
	s.OldTargets, s.Progress = 1, next
	s.Order.ID.Row = 3
	if next, changed, _ = c.Decide(now, s); !changed || next.Phase != InProgress || next.Order.Row != 3 {
		t.Errorf("newer order: got %+v, want it in progress", next)
	}
	s.Order.ID.Row, s.Progress = 2, next
	if next, changed, _ = c.Decide(now, s); changed {
		t.Errorf("older order: got %+v, want no change", next)
	}
}

// Guards against a share that is kept although no reports arrive any more.
func TestShareFallsWithoutEvidence(t *testing.T) {
	c := NewController(testOptions)
	now := time.Unix(1_000_000, 0)
	order := Order{ID: OrderID{Row: 2}, Version: version, Duration: 60 * time.Second}
	s := Situation{
		Order: order, OldTargets: 6, Candidates: 6, NowMs: 45_000,
		Progress: Progress{Order: order.ID, Version: version, Phase: InProgress, Step: 5, ShareMilli: 400},
		Evidence: Report{{Side: Old}: {Dispatched: 9000, Successes: 9000}, {Side: New}: {Dispatched: 200, Successes: 200}},
	}
	c.Decide(now, s)
	s.NowMs += 2001
	next, _, _ := c.Decide(now.Add(2001*time.Millisecond), s)
	if next.ShareMilli != c.firstShare() || next.Step != 6 {
		t.Errorf("got %+v, want the first share at step 6", next)
	}
}

// Guards against a version that can no longer complete in time but gets a part of the requests until
// the deadline, which exceeds the exposure bound.
func TestSuspectVersionGetsNoMoreOnceItIsTooLate(t *testing.T) {
	for _, c := range []struct {
		atMs int64
		want int
	}{{3500, 150}, {3900, 1}} {
		controller := NewController(testOptions)
		now := time.Unix(1_000_000, 0)
		order := Order{ID: OrderID{Row: 2}, Version: version, Duration: 6 * time.Second}
		s := Situation{
			Order: order, OldTargets: 6, Candidates: 6, NowMs: c.atMs - 100, Evidence: Report{},
			Progress: Progress{Order: order.ID, Version: version, Phase: InProgress, Step: 5, ShareMilli: 150},
		}
		controller.Decide(now, s)
		s.NowMs = c.atMs
		s.Evidence = Report{
			{Side: Old}: {Dispatched: 200, Successes: 198, Failures: 2},
			{Side: New}: {Dispatched: 90, Successes: 75, Failures: 9},
		}
		if next, _, v := controller.Decide(now.Add(100*time.Millisecond), s); next.Phase != InProgress || next.ShareMilli != c.want {
			t.Errorf("at %d ms: got %+v, want a share of %d; verdict %+v", c.atMs, next, c.want, v)
		}
	}
}
