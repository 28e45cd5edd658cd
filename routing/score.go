package routing

import "time"

// Score ranks the targets that pass the filters; the lowest score is the best.
// The router has matched the work's prefix before it calls Score.
type Score interface {
	Score(now time.Time, w *Work, t *Target) float64
}

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

// RoundRobin prefers the target that was chosen longest ago.
type RoundRobin struct{}

// Score implements Score.
func (RoundRobin) Score(_ time.Time, _ *Work, t *Target) float64 { return float64(t.LastChosen) }

// ReportedLoad scores by the last load that the target reported, however old.
type ReportedLoad struct{}

// Score implements Score.
func (ReportedLoad) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.Load.Reported())
}

// SlotUtilization scores by the fraction of the slots that are in use.
type SlotUtilization struct{}

// Score implements Score.
func (SlotUtilization) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.RunningRequests) / float64(max(1, t.Limit.Slots()))
}
