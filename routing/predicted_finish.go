package routing

import "time"

// PredictedFinish scores by the predicted seconds until the work finishes. It
// takes the wait for a slot, the uncached prompt tokens and the learned rates
// into account.
type PredictedFinish struct {
	Prefixes *PrefixIndex
}

// Score implements Score.
func (s PredictedFinish) Score(now time.Time, w *Work, t *Target) float64 {
	cached := s.Prefixes.CachedTokens(w.PromptTokens, t)
	run := t.Predict(now, w.PromptTokens, cached, w.Length.Median)
	return (t.PredictWait(now) + run.Total()).Seconds()
}
