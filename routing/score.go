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
	cached := s.Prefixes.Cached(w.PromptTokens, t)
	run := t.Predict(now, w.PromptTokens, cached, w.Length.Mid)
	return (t.Wait(now) + run.Total()).Seconds()
}

// LeastRecent scores by the turn: round robin.
type LeastRecent struct{}

// Score implements Score.
func (LeastRecent) Score(_ time.Time, _ *Work, t *Target) float64 { return float64(t.Turn) }

// ReportedLoad scores by the load that the target reported last, however old.
type ReportedLoad struct{}

// Score implements Score.
func (ReportedLoad) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.Load.Reported())
}

// UsedShare scores by the part of the declared slots in service.
type UsedShare struct{}

// Score implements Score.
func (UsedShare) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.InService) / float64(max(1, t.Limit.Slots()))
}
