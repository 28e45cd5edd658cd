package routing

import "time"

// SlotUtilization scores by the fraction of the slots that are in use.
type SlotUtilization struct{}

// Score implements Score.
func (SlotUtilization) Score(_ time.Time, _ *Work, t *Target) float64 {
	return float64(t.RunningRequests) / float64(max(1, t.Limit.Slots()))
}
