package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/settings"
)

// tiers are the tiers of the workload; each gets an equal share of the calls.
var tiers = []settings.Tier{
	{Name: "filing", Rank: 0, DefaultDeadline: settings.Duration(5 * time.Second)},
	{Name: "desk", Rank: 1, DefaultDeadline: settings.Duration(6 * time.Second)},
	{Name: "draft", Rank: 2, DefaultDeadline: settings.Duration(7 * time.Second)},
	{Name: "batch", Rank: 3, DefaultDeadline: settings.Duration(8 * time.Second)},
}

const (
	// scaledDeadlines grow with the length of the call; fixedDeadlines are the tiers'
	// default deadlines.
	scaledDeadlines = "scaled"
	fixedDeadlines  = "fixed"
	// A scaled deadline is minDeadline plus deadlineFactor times the service time on an
	// idle engine of medium speed.
	minDeadline    = 2 * time.Second
	deadlineFactor = 3
)

var teams = []team{{"large-1", 0.4}, {"large-2", 0.3}, {"small-1", 0.1}, {"small-2", 0.1}, {"small-3", 0.1}}

const (
	minPrompt = 20 // tokens
	minTokens = 3  // tokens
	decades   = 2
	// The calls of a session share the first sharedPrefixTokens of their prompts.
	sessions           = 24
	sharedPrefixTokens = 512
	// Each burstPeriod starts with a burst of burstRate times the mean rate, which lasts
	// burstLength; the rest has quietRate times the mean rate.
	burstPeriod = 5 * time.Second
	burstLength = time.Second
	burstRate   = 2.0
	quietRate   = 0.75
)

// workload generates jobs, the same ones for the same seed, shape, load and kind of
// deadlines.
type workload struct {
	random *rand.Rand
	shape  shape
	load   float64
	// deadlines is scaledDeadlines or fixedDeadlines.
	deadlines string
}

func newWorkload(seed uint64, s shape, load float64, deadlines string) *workload {
	return &workload{
		random:    rand.New(rand.NewPCG(seed, math.Float64bits(load))),
		shape:     s,
		load:      load,
		deadlines: deadlines,
	}
}

// meanLength returns the mean of a length that is log-uniform between least and least times
// 10 to the power of decades.
func meanLength(least float64) float64 {
	most := least * math.Pow(10, decades)
	return (most - least) / math.Log(most/least)
}

// jobs returns the calls of one phase, in order of time within each pool.
func (w *workload) jobs(duration time.Duration) []job {
	var all []job
	for _, pool := range w.shape.pools {
		all = append(all, w.poolJobs(pool.name, duration)...)
	}
	return all
}

func (w *workload) poolJobs(pool ident.Pool, duration time.Duration) []job {
	rate := 0.0
	for _, e := range w.shape.engines() {
		if e.pool == pool {
			rate += w.load * e.rate(meanLength(minPrompt), meanLength(minTokens))
		}
	}
	var all []job
	for due := time.Duration(0); due < duration; {
		factor := quietRate
		if due%burstPeriod < burstLength {
			factor = burstRate
		}
		due += time.Duration(w.random.ExpFloat64() / (rate * factor) * float64(time.Second))
		all = append(all, w.job(pool, due, len(all)))
	}
	return all
}

func (w *workload) job(pool ident.Pool, due time.Duration, n int) job {
	tier := tiers[w.random.IntN(len(tiers))]
	tokens, promptTokens := w.length(minTokens), w.length(minPrompt)
	return job{
		due:      due,
		pool:     pool,
		team:     w.team(),
		tier:     tier.Name,
		deadline: w.deadline(tier, promptTokens, tokens),
		host:     w.random.IntN(w.shape.hosts),
		prompt:   w.prompt(promptTokens, fmt.Sprintf("%s-%g-%d", pool, w.load, n), tokens),
		limit:    tokens * (1 + w.random.IntN(2)),
	}
}

func (w *workload) deadline(tier settings.Tier, promptTokens, tokens int) time.Duration {
	if w.deadlines == fixedDeadlines {
		return tier.DefaultDeadline.Std()
	}
	speed := speeds[len(speeds)/2]
	idle := float64(tokens)*baseGapMs/1000/speed + float64(promptTokens)/(basePrefillRate*speed)
	return minDeadline + time.Duration(deadlineFactor*idle*float64(time.Second))
}

func (w *workload) team() ident.Team {
	x := w.random.Float64()
	for _, t := range teams {
		if x -= t.share; x < 0 {
			return t.name
		}
	}
	return teams[0].name
}

func (w *workload) length(least float64) int {
	return int(least * math.Pow(10, decades*w.random.Float64()))
}

// prompt returns a prompt that starts with the shared prefix of a random session and ends
// with text unique to the call.
func (w *workload) prompt(tokens int, name string, answer int) string {
	shared := strings.Repeat(fmt.Sprintf("s%02d ", w.random.IntN(sessions)), min(tokens, sharedPrefixTokens))
	own := strings.Repeat(name+" ", max(0, tokens-sharedPrefixTokens)*engine.BytesPerToken/(len(name)+1))
	return shared + own + name + engine.LengthMarker(answer)
}
