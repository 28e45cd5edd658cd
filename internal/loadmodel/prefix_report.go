package loadmodel

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

// PrefixReport says what was predicted of the caches of engines and what was true.
type PrefixReport struct {
	Requests int
	// Wrong is the number of requests for which the prediction was wrong by more than
	// wrongTokens, and False the number of those of them for which more was predicted than cached.
	Wrong int
	False int
	// PromptTokens counts the tokens of all prompts, CachedTokens those that were cached,
	// FalseTokens those predicted but not cached, and MissedTokens those cached but not predicted.
	PromptTokens int
	CachedTokens int
	FalseTokens  int
	MissedTokens int
	// RereadTokens counts the tokens of blocks that an engine processed although it or another
	// one had processed them before.
	RereadTokens int
	// FirstEvents holds the times from submission to the first event.
	FirstEvents []time.Duration
	// Counts holds what the hosts counted themselves.
	Counts schedule.PrefixCounts
}

// wrongTokens is the least error of a prediction that counts as wrong: about 2 ms of an engine.
const wrongTokens = 100

func (p *PrefixReport) add(r *request, cached int) {
	p.Requests++
	p.PromptTokens += r.prompt
	p.CachedTokens += cached
	p.FalseTokens += max(0, r.predicted-cached)
	p.MissedTokens += max(0, cached-r.predicted)
	if r.predicted > cached+wrongTokens {
		p.Wrong++
		p.False++
	}
	if r.predicted < cached-wrongTokens {
		p.Wrong++
	}
}

// MeanFirstEvent returns the mean time from submission to the first event.
func (p *PrefixReport) MeanFirstEvent() time.Duration {
	sum := time.Duration(0)
	for _, d := range p.FirstEvents {
		sum += d
	}
	return sum / time.Duration(max(len(p.FirstEvents), 1))
}

// FirstEventQuantile returns a quantile of the times from submission to the first event.
func (p *PrefixReport) FirstEventQuantile(q float64) time.Duration {
	if len(p.FirstEvents) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.FirstEvents))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
