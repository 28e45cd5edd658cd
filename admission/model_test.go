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
	"github.com/cornelyard/cornelyard/settings"
)

// model drives a Scheduler against engines in virtual time, so that policies can
// be compared on the same arrivals without processes. It shows tendencies; the
// figures of the product come from bench/policy.
type model struct {
	scheduler *Scheduler
	now       time.Time
	events    modelEvents
	sequence  int
	engines   map[ident.Target]*modelEngine
	jobs      map[ident.Request]*modelJob
	results   map[ident.Tier]*modelResult
	woken     time.Time
	check     func(now time.Time, actions []Action)
}

// modelJob is one request and the length that the scheduler does not know.
type modelJob struct {
	request Request
	tokens  int
	arrive  time.Duration

	engine     *modelEngine
	dispatched time.Time
	computed   int
	left       int
	first      time.Time
	streamed   int
	reported   int
	reportedAt time.Time
	done       bool
}

// modelEngine batches continuously and computes prompts in chunks.
type modelEngine struct {
	target   ident.Target
	gap      time.Duration
	growth   float64
	prefill  float64
	slow     float64
	batch    []*modelJob
	stepping bool
	cache    map[uint64]bool
	computed int
	wasted   int
}

type modelResult struct {
	offered, good, late, shed, infeasible, preempted int
	finish                                           []float64
	tokens, cutTokens                                int
}

type modelEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

const (
	modelChunk     = 512
	modelReport    = 100 * time.Millisecond
	modelNetwork   = time.Millisecond
	modelCancel    = 20 * time.Millisecond
	modelPrefill   = 20_000.0
	modelGap       = 5 * time.Millisecond
	modelGrowth    = 0.1
	modelSlots     = 8
	modelLoadLag   = 500 * time.Millisecond
	modelLoadEvery = 200 * time.Millisecond
	modelCacheMax  = 4096
)

// modelSpeeds are the speeds of the three kinds of engines.
var modelSpeeds = []float64{1, 2, 4}

func newModel(config Config) *model {
	m := &model{
		scheduler: newTestScheduler(config),
		now:       epoch,
		engines:   make(map[ident.Target]*modelEngine),
		jobs:      make(map[ident.Request]*modelJob),
		results:   make(map[ident.Tier]*modelResult),
	}
	for i, target := range config.Targets {
		speed := modelSpeeds[i%len(modelSpeeds)]
		m.engines[target.Name] = &modelEngine{
			target:  target.Name,
			gap:     time.Duration(float64(4*modelGap) / speed),
			growth:  modelGrowth,
			prefill: modelPrefill / 4 * speed,
			slow:    1,
			cache:   make(map[uint64]bool),
		}
	}
	for _, tier := range config.Tiers {
		m.results[tier.Name] = &modelResult{}
	}
	return m
}

// capacity returns the requests a second that the engines can carry.
func (m *model) capacity(prompt, tokens float64) float64 {
	total := 0.0
	for _, e := range m.engines {
		step := e.step(modelSlots)
		total += 1 / (tokens*step.Seconds()/modelSlots + prompt/e.prefill)
	}
	return total
}

func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), sequence: m.sequence, run: run})
}

func (m *model) run(jobs []*modelJob, limit time.Duration) {
	for _, job := range jobs {
		m.after(job.arrive, func() { m.arrive(job) })
	}
	m.reportLoads()
	end := m.now.Add(limit)
	for m.events.Len() > 0 && m.events[0].at.Before(end) {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.run()
	}
}

// reportLoads has all engines report their load, some time late, again and again.
func (m *model) reportLoads() {
	for _, e := range m.engines {
		report := LoadReport{Target: e.target, Running: len(e.batch), At: m.now}
		m.after(modelLoadLag, func() { m.scheduler.ObserveLoad(m.now, report) })
	}
	if len(m.events) > len(m.engines) {
		m.after(modelLoadEvery, m.reportLoads)
	}
}

func (m *model) arrive(job *modelJob) {
	job.request.Deadline = m.now.Add(job.request.Deadline.Sub(job.request.Arrived))
	job.request.Arrived = m.now
	m.jobs[job.request.ID] = job
	m.results[job.request.Tier].offered++
	m.scheduler.Enqueue(m.now, job.request)
	m.decide()
}

func (m *model) decide() {
	actions := m.scheduler.Decide(m.now)
	if m.check != nil {
		m.check(m.now, actions)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case *Grant:
			job, engine := m.jobs[a.Request.ID], m.engines[a.Target]
			m.after(modelNetwork, func() { m.dispatch(job, engine) })
		case *Refuse:
			m.refused(a)
		case *Preempt:
			job := m.jobs[a.Request.ID]
			m.after(modelCancel, func() { m.cut(job, outcome.Preempted) })
		}
	}
	wake := m.now.Add(m.scheduler.NextWake(m.now))
	if m.woken.After(m.now) && !wake.Before(m.woken) {
		return
	}
	m.woken = wake
	m.after(wake.Sub(m.now), func() {
		if m.woken.Equal(m.now) {
			m.decide()
		}
	})
}

func (m *model) refused(a *Refuse) {
	result := m.results[a.Request.Tier]
	if a.Reason == outcome.Infeasible {
		result.infeasible++
		return
	}
	result.shed++
}

func (m *model) dispatch(job *modelJob, engine *modelEngine) {
	job.engine = engine
	job.dispatched = m.now
	job.reportedAt = m.now
	job.computed = job.request.PromptTokens - engine.cached(job.request.Prefix)
	job.left = max(1, job.computed)
	engine.batch = append(engine.batch, job)
	m.after(job.request.Deadline.Sub(m.now), func() { m.cut(job, outcome.DeadlineExceeded) })
	m.step(engine)
}

func (m *model) step(e *modelEngine) {
	if e.stepping || len(e.batch) == 0 {
		return
	}
	e.stepping = true
	took := e.step(len(e.batch))
	var prefilling *modelJob
	for _, job := range e.batch {
		if job.left > 0 {
			prefilling = job
			break
		}
	}
	if prefilling != nil {
		took += time.Duration(float64(min(modelChunk, prefilling.left)) / e.prefill * e.slow * float64(time.Second))
	}
	m.after(took, func() { m.stepped(e, prefilling) })
}

func (m *model) stepped(e *modelEngine, prefilling *modelJob) {
	e.stepping = false
	var finished []*modelJob
	for _, job := range e.batch {
		if job == prefilling {
			chunk := min(modelChunk, job.left)
			job.left -= chunk
			e.computed += chunk
			if job.left > 0 {
				continue
			}
			for _, hash := range job.request.Prefix {
				e.cache[hash] = true
			}
		}
		if job.left > 0 {
			continue
		}
		job.streamed++
		if job.streamed == 1 {
			job.first = m.now
		}
		if job.streamed >= job.tokens {
			finished = append(finished, job)
			continue
		}
		m.report(job)
	}
	for _, job := range finished {
		m.finish(job, End{Outcome: outcome.Completed})
	}
	m.decide()
	m.step(e)
}

func (m *model) report(job *modelJob) {
	since := m.now.Sub(job.reportedAt)
	if job.streamed > 1 && since < modelReport {
		return
	}
	progress := Progress{
		ID:            job.request.ID,
		Tokens:        job.streamed,
		SinceDispatch: m.now.Sub(job.dispatched),
		Prefill:       job.first.Sub(job.dispatched),
	}
	if job.reported > 0 {
		progress.Gap = since / time.Duration(job.streamed-job.reported)
	}
	job.reported = job.streamed
	job.reportedAt = m.now
	m.scheduler.Progress(m.now, progress)
}

func (m *model) cut(job *modelJob, reason outcome.Reason) {
	if job.done {
		return
	}
	if job.engine == nil {
		m.after(modelNetwork, func() { m.cut(job, reason) })
		return
	}
	if reason == outcome.Preempted {
		m.results[job.request.Tier].preempted++
	} else {
		m.results[job.request.Tier].late++
	}
	m.results[job.request.Tier].cutTokens += job.streamed
	job.engine.wasted += max(0, job.computed-job.left)
	m.finish(job, End{Outcome: outcome.Interrupted, Reason: reason})
	m.decide()
}

func (m *model) finish(job *modelJob, e End) {
	job.done = true
	for i, other := range job.engine.batch {
		if other == job {
			job.engine.batch = append(job.engine.batch[:i:i], job.engine.batch[i+1:]...)
			break
		}
	}
	e.ID = job.request.ID
	e.PromptTokens = job.request.PromptTokens
	e.CachedTokens = job.request.PromptTokens - job.computed
	e.Tokens = job.streamed
	if job.streamed > 0 {
		e.Prefill = job.first.Sub(job.dispatched)
	}
	e.Total = m.now.Sub(job.dispatched)
	if e.Outcome == outcome.Completed {
		result := m.results[job.request.Tier]
		result.good++
		result.tokens += job.tokens
		result.finish = append(result.finish, m.now.Sub(job.request.Arrived).Seconds())
	}
	m.scheduler.End(m.now, e)
}

func (e *modelEngine) step(batch int) time.Duration {
	return time.Duration(float64(e.gap) * (1 + e.growth*float64(batch-1)) * e.slow)
}

func (e *modelEngine) cached(prefix []uint64) int {
	for i, hash := range prefix {
		if !e.cache[hash] {
			return i * PrefixBlockTokens
		}
	}
	return len(prefix) * PrefixBlockTokens
}

// modelLoad describes arrivals.
type modelLoad struct {
	seed     uint64
	offered  float64
	duration time.Duration
	// tierParts are the parts of the offered load, from the highest tier.
	tierParts []float64
}

var modelTeams = []struct {
	name ident.Team
	part float64
}{{"large-1", 0.4}, {"large-2", 0.3}, {"small-1", 0.1}, {"small-2", 0.1}, {"small-3", 0.1}}

// jobs makes arrivals with bursts and lengths over two decades.
func (l modelLoad) jobs(capacity func(prompt, tokens float64) float64) []*modelJob {
	random := rand.New(rand.NewPCG(l.seed, 1))
	const samples = 4000
	meanPrompt, meanTokens := 0.0, 0.0
	for range samples {
		prompt, tokens := modelLengths(random)
		meanPrompt += float64(prompt) / samples
		meanTokens += float64(tokens) / samples
	}
	rate := l.offered * capacity(meanPrompt, meanTokens)
	var jobs []*modelJob
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

func (l modelLoad) job(random *rand.Rand, n int, at float64) *modelJob {
	prompt, tokens := modelLengths(random)
	tier := testTiers[pick(random, l.tierParts)]
	parts := make([]float64, len(modelTeams))
	for i, team := range modelTeams {
		parts[i] = team.part
	}
	team := modelTeams[pick(random, parts)].name
	session := random.IntN(40)
	var prefix []uint64
	for block := range prompt / PrefixBlockTokens {
		hash := uint64(session)<<32 | uint64(block)
		if block >= 8 {
			hash |= uint64(n) << 40
		}
		prefix = append(prefix, hash)
	}
	ideal := float64(tokens)*modelGap.Seconds()*2 + float64(prompt)/modelPrefill
	deadline := time.Duration((2 + 3*ideal) * float64(time.Second))
	limit := tokens
	if random.IntN(2) == 0 {
		limit = 2 * tokens
	}
	return &modelJob{
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
			Digest:       Digest(n + 1),
		},
	}
}

func modelLengths(random *rand.Rand) (prompt, tokens int) {
	prompt = int(30 * math.Pow(100, random.Float64()))
	tokens = int(8 * math.Pow(100, random.Float64()))
	return prompt, tokens
}

func pick(random *rand.Rand, parts []float64) int {
	x := random.Float64()
	for i, part := range parts {
		if x -= part; x < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// modelTotals sums up a run.
type modelTotals struct {
	good, offered     int
	top               float64
	wasted, computed  int
	tokens, cutTokens int
	p50, p99          float64
}

func (m *model) totals() modelTotals {
	var t modelTotals
	var finish []float64
	for _, r := range m.results {
		t.good += r.good
		t.tokens += r.tokens
		t.cutTokens += r.cutTokens
		t.offered += r.offered
		finish = append(finish, r.finish...)
	}
	if top := m.results[testTiers[0].Name]; top.offered > 0 {
		t.top = float64(top.good) / float64(top.offered)
	}
	for _, e := range m.engines {
		t.wasted += e.wasted
		t.computed += e.computed
	}
	sort.Float64s(finish)
	if len(finish) > 0 {
		t.p50 = finish[len(finish)/2]
		t.p99 = finish[len(finish)*99/100]
	}
	return t
}

var modelPolicies = []settings.Policy{
	settings.PolicyRoundRobin,
	settings.PolicyLeastReportedLoad,
	settings.PolicyLateBinding,
	settings.PolicyPredictive,
}

func modelRun(policy settings.Policy, load modelLoad, change func(*model)) *model {
	config := testConfig(6, modelSlots)
	config.Pool.Policy = policy
	config.Pool.MaxQueue = 10_000
	m := newModel(config)
	jobs := load.jobs(m.capacity)
	if change != nil {
		change(m)
	}
	m.run(jobs, load.duration+10*time.Minute)
	return m
}

// wastedPart returns the part of the computed prompt tokens that was wasted.
func (t modelTotals) wastedPart() float64 {
	return float64(t.wasted) / float64(max(1, t.computed))
}
