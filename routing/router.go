package routing

import "time"

// Router ranks the targets of a pool with pluggable filters and a pluggable
// score.
type Router struct {
	prefixes   *PrefixIndex
	filters    []Filter
	score      Score
	selections uint64
}

func NewRouter(o RouterOptions) *Router {
	return &Router{prefixes: o.Prefixes, filters: o.Filters, score: o.Score}
}

// MatchPrefix looks up the work's prefix in the index. Predict and CachedTokens
// rely on the last match, so it must be called first for each piece of work.
func (r *Router) MatchPrefix(w *Work) { r.prefixes.Match(w.Prefix) }

// Rank returns the best allowed target with a free slot and the best one without.
func (r *Router) Rank(now time.Time, w *Work, targets []*Target) Choice {
	r.MatchPrefix(w)
	var choice Choice
	for _, target := range targets {
		if !r.Allows(now, w, target) {
			continue
		}
		score := r.score.Score(now, w, target)
		if target.FreeSlots(now) > 0 {
			if choice.Free == nil || score < choice.FreeScore {
				choice.Free, choice.FreeScore = target, score
			}
			continue
		}
		if choice.Busy == nil || score < choice.BusyScore {
			choice.Busy, choice.BusyScore = target, score
		}
	}
	return choice
}

// Best returns the best allowed target, with or without a free slot, and records
// that it was chosen.
func (r *Router) Best(now time.Time, w *Work, targets []*Target) *Target {
	choice := r.Rank(now, w, targets)
	best := choice.Free
	if best == nil || choice.Busy != nil && choice.BusyScore < choice.FreeScore {
		best = choice.Busy
	}
	if best != nil {
		r.selections++
		best.LastChosen = r.selections
	}
	return best
}

// Allows reports whether all filters allow the work on the target.
func (r *Router) Allows(now time.Time, w *Work, t *Target) bool {
	for _, filter := range r.filters {
		if !filter.Allows(now, w, t) {
			return false
		}
	}
	return true
}

// CachedTokens estimates how many prompt tokens of the work the target has cached.
// MatchPrefix must have been called for this work.
func (r *Router) CachedTokens(w *Work, t *Target) int {
	return r.prefixes.CachedTokens(w.PromptTokens, t)
}

// Predict returns the run time of the work on the target at its current load for
// an output of tokens. MatchPrefix must have been called for this work.
func (r *Router) Predict(now time.Time, w *Work, t *Target, tokens int) Prediction {
	return t.Predict(now, w.PromptTokens, r.CachedTokens(w, t), tokens)
}

// PredictIdle is like Predict, but for an idle target.
func (r *Router) PredictIdle(now time.Time, w *Work, t *Target, tokens int) Prediction {
	return t.PredictIdle(now, w.PromptTokens, r.CachedTokens(w, t), tokens)
}

// FastestTimes returns the shortest predicted times of the work over the allowed
// targets, at their current load and idle. It returns false if no target is
// allowed. MatchPrefix must have been called for this work.
func (r *Router) FastestTimes(now time.Time, w *Work, targets []*Target, tokens, idleTokens int) (FastestTimes, bool) {
	var fastest FastestTimes
	found := false
	for _, target := range targets {
		if !r.Allows(now, w, target) {
			continue
		}
		loaded := r.Predict(now, w, target, tokens).Total()
		idle := r.PredictIdle(now, w, target, idleTokens).Total()
		if !found || loaded < fastest.Loaded {
			fastest.Loaded = loaded
		}
		if !found || idle < fastest.Idle {
			fastest.Idle = idle
		}
		found = true
	}
	return fastest, found
}
