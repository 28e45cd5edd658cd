package routing

import "time"

// Router ranks the targets of a pool by its plug-ins.
type Router struct {
	prefixes *PrefixIndex
	filters  []Filter
	score    Score
	turn     uint64
}

// RouterOptions configures a Router.
type RouterOptions struct {
	Prefixes *PrefixIndex
	Filters  []Filter
	Score    Score
}

// NewRouter returns a router.
func NewRouter(o RouterOptions) *Router {
	return &Router{prefixes: o.Prefixes, filters: o.Filters, score: o.Score}
}

// MatchPrefix looks up the work's prefix; Rank, Predict and Cached then refer to
// this work.
func (r *Router) MatchPrefix(w *Work) { r.prefixes.Match(w.Prefix) }

// Rank returns the best target with a free slot and the best one without.
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

// Best returns the best target, with a free slot or not, and counts it as
// chosen.
func (r *Router) Best(now time.Time, w *Work, targets []*Target) *Target {
	choice := r.Rank(now, w, targets)
	best := choice.Free
	if best == nil || choice.Busy != nil && choice.BusyScore < choice.FreeScore {
		best = choice.Busy
	}
	if best != nil {
		r.turn++
		best.LastChosen = r.turn
	}
	return best
}

// Allows says whether the filters let the work run on the target.
func (r *Router) Allows(now time.Time, w *Work, t *Target) bool {
	for _, filter := range r.filters {
		if !filter.Allows(now, w, t) {
			return false
		}
	}
	return true
}

// CachedTokens returns the prompt tokens of the prepared work that the target seems to
// keep.
func (r *Router) CachedTokens(w *Work, t *Target) int {
	return r.prefixes.CachedTokens(w.PromptTokens, t)
}

// Predict returns the time that the prepared work takes with so many tokens.
func (r *Router) Predict(now time.Time, w *Work, t *Target, tokens int) Prediction {
	return t.Predict(now, w.PromptTokens, r.CachedTokens(w, t), tokens)
}

// PredictIdle returns the same on an idle target.
func (r *Router) PredictIdle(now time.Time, w *Work, t *Target, tokens int) Prediction {
	return t.PredictIdle(now, w.PromptTokens, r.CachedTokens(w, t), tokens)
}

// FastestTimes returns the least predicted times of the prepared work over the
// allowed targets: as they are loaded, and idle. It reports false if none is
// allowed.
func (r *Router) FastestTimes(now time.Time, w *Work, targets []*Target, tokens, idleTokens int) (FastestTimes, bool) {
	var pace FastestTimes
	found := false
	for _, target := range targets {
		if !r.Allows(now, w, target) {
			continue
		}
		loaded := r.Predict(now, w, target, tokens).Total()
		idle := r.PredictIdle(now, w, target, idleTokens).Total()
		if !found || loaded < pace.Loaded {
			pace.Loaded = loaded
		}
		if !found || idle < pace.Idle {
			pace.Idle = idle
		}
		found = true
	}
	return pace, found
}
