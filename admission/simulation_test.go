package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// simulation drives a Scheduler against simulated engines in virtual time, so
// that policies can be compared on the same arrivals without processes. Its
// results show tendencies only; those of the real system come from
// bench/policy.
type simulation struct {
	scheduler  *Scheduler
	now        time.Time
	events     simEvents
	sequence   int
	engines    map[ident.Target]*simEngine
	jobs       map[ident.Request]*simJob
	results    map[ident.Tier]*simResult
	nextWakeAt time.Time
	check      func(now time.Time, actions []Action)
}

// simJob is one request and its response length, which the scheduler does not
// know.
type simJob struct {
	request Request
	tokens  int
	arrive  time.Duration

	engine         *simEngine
	dispatched     time.Time
	uncachedTokens int
	prefillLeft    int
	firstToken     time.Time
	streamedTokens int
	reportedTokens int
	reportedAt     time.Time
	done           bool
}

// simEngine simulates continuous batching with chunked prefill.
type simEngine struct {
	target        ident.Target
	tokenGap      time.Duration
	gapGrowth     float64
	prefillRate   float64
	slowFactor    float64
	batch         []*simJob
	stepping      bool
	cache         map[uint64]bool
	prefillTokens int
	wastedTokens  int
}

type simResult struct {
	offered, good, late, shed, infeasible, preempted int
	finishSeconds                                    []float64
	tokens, interruptedTokens                        int
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

const (
	simPrefillChunk     = 512
	simProgressInterval = 100 * time.Millisecond
	simNetworkDelay     = time.Millisecond
	simCancelDelay      = 20 * time.Millisecond
	simPrefillRate      = 20_000.0
	simTokenGap         = 5 * time.Millisecond
	simGapGrowth        = 0.1
	simSlots            = 8
	simLoadLag          = 500 * time.Millisecond
	simLoadInterval     = 200 * time.Millisecond
	simCacheMax         = 4096
)

// simSpeeds are the relative speeds of the three kinds of engines.
var simSpeeds = []float64{1, 2, 4}

func newSimulation(config Config) *simulation {
	sim := &simulation{
		scheduler: newTestScheduler(config),
		now:       epoch,
		engines:   make(map[ident.Target]*simEngine),
		jobs:      make(map[ident.Request]*simJob),
		results:   make(map[ident.Tier]*simResult),
	}
	for i, target := range config.Targets {
		speed := simSpeeds[i%len(simSpeeds)]
		sim.engines[target.Name] = &simEngine{
			target:      target.Name,
			tokenGap:    time.Duration(float64(4*simTokenGap) / speed),
			gapGrowth:   simGapGrowth,
			prefillRate: simPrefillRate / 4 * speed,
			slowFactor:  1,
			cache:       make(map[uint64]bool),
		}
	}
	for _, tier := range config.Tiers {
		sim.results[tier.Name] = &simResult{}
	}
	return sim
}

// capacity returns the requests per second that the engines can serve.
func (sim *simulation) capacity(prompt, tokens float64) float64 {
	total := 0.0
	for _, e := range sim.engines {
		step := e.stepDuration(simSlots)
		total += 1 / (tokens*step.Seconds()/simSlots + prompt/e.prefillRate)
	}
	return total
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

func (sim *simulation) run(jobs []*simJob, limit time.Duration) {
	for _, job := range jobs {
		sim.schedule(job.arrive, func() { sim.arrive(job) })
	}
	sim.reportLoads()
	end := sim.now.Add(limit)
	for sim.events.Len() > 0 && sim.events[0].at.Before(end) {
		event := heap.Pop(&sim.events).(simEvent)
		sim.now = event.at
		event.run()
	}
}

// reportLoads reports the load of all engines, simLoadLag late, and repeats
// while events remain.
func (sim *simulation) reportLoads() {
	for _, e := range sim.engines {
		report := LoadReport{Target: e.target, Running: len(e.batch), At: sim.now}
		sim.schedule(simLoadLag, func() { sim.scheduler.ObserveLoad(sim.now, report) })
	}
	if len(sim.events) > len(sim.engines) {
		sim.schedule(simLoadInterval, sim.reportLoads)
	}
}

func (sim *simulation) arrive(job *simJob) {
	job.request.Deadline = sim.now.Add(job.request.Deadline.Sub(job.request.Arrived))
	job.request.Arrived = sim.now
	sim.jobs[job.request.ID] = job
	sim.results[job.request.Tier].offered++
	sim.scheduler.Enqueue(sim.now, job.request)
	sim.decide()
}

func (sim *simulation) decide() {
	actions := sim.scheduler.Decide(sim.now)
	if sim.check != nil {
		sim.check(sim.now, actions)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case *Grant:
			job, engine := sim.jobs[a.Request.ID], sim.engines[a.Target]
			sim.schedule(simNetworkDelay, func() { sim.dispatch(job, engine) })
		case *Refuse:
			sim.refused(a)
		case *Preempt:
			job := sim.jobs[a.Request.ID]
			sim.schedule(simCancelDelay, func() { sim.interrupt(job, outcome.Preempted) })
		}
	}
	wake := sim.now.Add(sim.scheduler.NextWake(sim.now))
	if sim.nextWakeAt.After(sim.now) && !wake.Before(sim.nextWakeAt) {
		return
	}
	sim.nextWakeAt = wake
	sim.schedule(wake.Sub(sim.now), func() {
		if sim.nextWakeAt.Equal(sim.now) {
			sim.decide()
		}
	})
}

func (sim *simulation) refused(a *Refuse) {
	result := sim.results[a.Request.Tier]
	if a.Reason == outcome.Infeasible {
		result.infeasible++
		return
	}
	result.shed++
}

func (sim *simulation) dispatch(job *simJob, engine *simEngine) {
	job.engine = engine
	job.dispatched = sim.now
	job.reportedAt = sim.now
	job.uncachedTokens = job.request.PromptTokens - engine.cached(job.request.Prefix)
	job.prefillLeft = max(1, job.uncachedTokens)
	engine.batch = append(engine.batch, job)
	sim.schedule(job.request.Deadline.Sub(sim.now), func() { sim.interrupt(job, outcome.DeadlineExceeded) })
	sim.step(engine)
}

func (sim *simulation) step(e *simEngine) {
	if e.stepping || len(e.batch) == 0 {
		return
	}
	e.stepping = true
	took := e.stepDuration(len(e.batch))
	var prefilling *simJob
	for _, job := range e.batch {
		if job.prefillLeft > 0 {
			prefilling = job
			break
		}
	}
	if prefilling != nil {
		took += time.Duration(float64(min(simPrefillChunk, prefilling.prefillLeft)) / e.prefillRate * e.slowFactor * float64(time.Second))
	}
	sim.schedule(took, func() { sim.finishStep(e, prefilling) })
}

func (sim *simulation) finishStep(e *simEngine, prefilling *simJob) {
	e.stepping = false
	var finished []*simJob
	for _, job := range e.batch {
		if job == prefilling {
			chunk := min(simPrefillChunk, job.prefillLeft)
			job.prefillLeft -= chunk
			e.prefillTokens += chunk
			if job.prefillLeft > 0 {
				continue
			}
			for _, hash := range job.request.Prefix {
				e.cache[hash] = true
			}
		}
		if job.prefillLeft > 0 {
			continue
		}
		job.streamedTokens++
		if job.streamedTokens == 1 {
			job.firstToken = sim.now
		}
		if job.streamedTokens >= job.tokens {
			finished = append(finished, job)
			continue
		}
		sim.report(job)
	}
	for _, job := range finished {
		sim.finish(job, End{Outcome: outcome.Completed})
	}
	sim.decide()
	sim.step(e)
}

func (sim *simulation) report(job *simJob) {
	since := sim.now.Sub(job.reportedAt)
	if job.streamedTokens > 1 && since < simProgressInterval {
		return
	}
	progress := Progress{
		ID:            job.request.ID,
		Tokens:        job.streamedTokens,
		SinceDispatch: sim.now.Sub(job.dispatched),
		Prefill:       job.firstToken.Sub(job.dispatched),
	}
	if job.reportedTokens > 0 {
		progress.Gap = since / time.Duration(job.streamedTokens-job.reportedTokens)
	}
	job.reportedTokens = job.streamedTokens
	job.reportedAt = sim.now
	sim.scheduler.Progress(sim.now, progress)
}

func (sim *simulation) interrupt(job *simJob, reason outcome.Reason) {
	if job.done {
		return
	}
	if job.engine == nil {
		sim.schedule(simNetworkDelay, func() { sim.interrupt(job, reason) })
		return
	}
	if reason == outcome.Preempted {
		sim.results[job.request.Tier].preempted++
	} else {
		sim.results[job.request.Tier].late++
	}
	sim.results[job.request.Tier].interruptedTokens += job.streamedTokens
	job.engine.wastedTokens += max(0, job.uncachedTokens-job.prefillLeft)
	sim.finish(job, End{Outcome: outcome.Interrupted, Reason: reason})
	sim.decide()
}

func (sim *simulation) finish(job *simJob, e End) {
	job.done = true
	for i, other := range job.engine.batch {
		if other == job {
			job.engine.batch = append(job.engine.batch[:i:i], job.engine.batch[i+1:]...)
			break
		}
	}
	e.ID = job.request.ID
	e.PromptTokens = job.request.PromptTokens
	e.CachedTokens = job.request.PromptTokens - job.uncachedTokens
	e.Tokens = job.streamedTokens
	if job.streamedTokens > 0 {
		e.Prefill = job.firstToken.Sub(job.dispatched)
	}
	e.Total = sim.now.Sub(job.dispatched)
	if e.Outcome == outcome.Completed {
		result := sim.results[job.request.Tier]
		result.good++
		result.tokens += job.tokens
		result.finishSeconds = append(result.finishSeconds, sim.now.Sub(job.request.Arrived).Seconds())
	}
	sim.scheduler.End(sim.now, e)
}

func (e *simEngine) stepDuration(batch int) time.Duration {
	return time.Duration(float64(e.tokenGap) * (1 + e.gapGrowth*float64(batch-1)) * e.slowFactor)
}

func (e *simEngine) cached(prefix []uint64) int {
	for i, hash := range prefix {
		if !e.cache[hash] {
			return i * PrefixBlockTokens
		}
	}
	return len(prefix) * PrefixBlockTokens
}

// simLoad describes the offered load.
type simLoad struct {
	seed        uint64
	offeredLoad float64
	duration    time.Duration
	// tierShares are the tiers' shares of the offered load, highest tier first.
	tierShares []float64
}

var simTeams = []struct {
	name ident.Team
	part float64
}{{"large-1", 0.4}, {"large-2", 0.3}, {"small-1", 0.1}, {"small-2", 0.1}, {"small-3", 0.1}}

// jobs generates arrivals in bursts, with prompt and response lengths over two
// decades.
func (l simLoad) jobs(capacity func(prompt, tokens float64) float64) []*simJob {
	random := rand.New(rand.NewPCG(l.seed, 1))
	const samples = 4000
	meanPrompt, meanTokens := 0.0, 0.0
	for range samples {
		prompt, tokens := drawLengths(random)
		meanPrompt += float64(prompt) / samples
		meanTokens += float64(tokens) / samples
	}
	rate := l.offeredLoad * capacity(meanPrompt, meanTokens)
	var jobs []*simJob
	at := 0.0
	for at < l.duration.Seconds() {
		burst := 0.8
		if math.Mod(at, 10) < 2 {
			burst = 1.8
		}
		at += random.ExpFloat64() / (rate * burst)
		jobs = append(jobs, l.job(random, len(jobs), at))
	}
	return jobs
}

func (l simLoad) job(random *rand.Rand, n int, at float64) *simJob {
	prompt, tokens := drawLengths(random)
	tier := testTiers[drawIndex(random, l.tierShares)]
	shares := make([]float64, len(simTeams))
	for i, team := range simTeams {
		shares[i] = team.part
	}
	team := simTeams[drawIndex(random, shares)].name
	session := random.IntN(40)
	var prefix []uint64
	for block := range prompt / PrefixBlockTokens {
		hash := uint64(session)<<32 | uint64(block)
		if block >= 8 {
			hash |= uint64(n) << 40
		}
		prefix = append(prefix, hash)
	}
	ideal := float64(tokens)*simTokenGap.Seconds()*2 + float64(prompt)/simPrefillRate
	deadline := time.Duration((2 + 3*ideal) * float64(time.Second))
	limit := tokens
	if random.IntN(2) == 0 {
		limit = 2 * tokens
	}
	return &simJob{
		arrive: time.Duration(at * float64(time.Second)),
		tokens: tokens,
		request: Request{
			ID:           ident.Request(fmt.Sprintf("r%06d", n)),
			Entry:        "host-1",
			Team:         team,
			Tier:         tier.Name,
			Arrived:      epoch,
			Deadline:     epoch.Add(deadline),
			PromptTokens: prompt,
			MaxTokens:    limit,
			Prefix:       prefix,
			Content:      quarantine.Content{Whole: quarantine.Digest(n + 1)},
		},
	}
}

func drawLengths(random *rand.Rand) (prompt, tokens int) {
	prompt = int(30 * math.Pow(100, random.Float64()))
	tokens = int(8 * math.Pow(100, random.Float64()))
	return prompt, tokens
}

func drawIndex(random *rand.Rand, shares []float64) int {
	x := random.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// simTotals sums up the results of a run.
type simTotals struct {
	good, offered               int
	topTierGood                 float64
	wastedTokens, prefillTokens int
	tokens, interruptedTokens   int
	p50, p99                    float64
}

func (sim *simulation) totals() simTotals {
	var t simTotals
	var finish []float64
	for _, r := range sim.results {
		t.good += r.good
		t.tokens += r.tokens
		t.interruptedTokens += r.interruptedTokens
		t.offered += r.offered
		finish = append(finish, r.finishSeconds...)
	}
	if top := sim.results[testTiers[0].Name]; top.offered > 0 {
		t.topTierGood = float64(top.good) / float64(top.offered)
	}
	for _, e := range sim.engines {
		t.wastedTokens += e.wastedTokens
		t.prefillTokens += e.prefillTokens
	}
	sort.Float64s(finish)
	if len(finish) > 0 {
		t.p50 = finish[len(finish)/2]
		t.p99 = finish[len(finish)*99/100]
	}
	return t
}

var allPolicies = []settings.Policy{
	settings.PolicyRoundRobin,
	settings.PolicyLeastReportedLoad,
	settings.PolicyLateBinding,
	settings.PolicyPredictive,
}

func runSimulation(policy settings.Policy, load simLoad, change func(*simulation)) *simulation {
	config := testConfig(6, simSlots)
	config.Pool.Policy = policy
	config.Pool.MaxQueue = 10_000
	sim := newSimulation(config)
	jobs := load.jobs(sim.capacity)
	if change != nil {
		change(sim)
	}
	sim.run(jobs, load.duration+10*time.Minute)
	return sim
}

// wastedFraction returns the fraction of the computed prompt tokens that was
// wasted.
func (t simTotals) wastedFraction() float64 {
	return float64(t.wastedTokens) / float64(max(1, t.prefillTokens))
}
