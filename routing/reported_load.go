package routing

import "time"

// ReportedLoad scores by the last load that the target reported, however old.
type ReportedLoad struct{}

// Score implements Score.
func (ReportedLoad) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.Load.Reported())
}
