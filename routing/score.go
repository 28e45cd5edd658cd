package routing

import "time"

// Score ranks the targets that the filters left; the least is the best. The last
// prefix match is that of the work.
type Score interface {
	Score(now time.Time, w *Work, t *Target) float64
}

// PredictedFinish scores by the seconds until the work is predicted to finish,
// with the wait for a slot, the prompt tokens that are not cached there and the
// learned rates.
type PredictedFinish struct {
	Prefixes *PrefixIndex
}

// Score implements Score.
func (s PredictedFinish) Score(now time.Time, w *Work, t *Target) float64 {
	cached := s.Prefixes.CachedTokens(w.PromptTokens, t)
	run := t.Predict(now, w.PromptTokens, cached, w.Length.Median)
	return (t.PredictWait(now) + run.Total()).Seconds()
}

// RoundRobin scores by the turn: round robin.
type RoundRobin struct{}

// Score implements Score.
func (RoundRobin) Score(_ time.Time, _ *Work, t *Target) float64 { return float64(t.LastChosen) }

// ReportedLoad scores by the load that the target reported last, however old.
type ReportedLoad struct{}

// Score implements Score.
func (ReportedLoad) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.Load.Reported())
}

// SlotUtilization scores by the part of the declared slots in service.
type SlotUtilization struct{}

// Score implements Score.
func (SlotUtilization) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.InService) / float64(max(1, t.Limit.Slots()))
}
