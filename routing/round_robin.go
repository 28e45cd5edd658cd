package routing

import "time"

// RoundRobin prefers the target that was chosen longest ago.
type RoundRobin struct{}

// Score implements Score.
func (RoundRobin) Score(_ time.Time, _ *Work, t *Target) float64 { return float64(t.LastChosen) }
